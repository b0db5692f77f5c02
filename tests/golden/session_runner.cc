#include "golden/session_runner.h"

#include <sstream>
#include <utility>

#include "clementineloom/decision/plan_confirm.h"
#include "clementineloom/decision/plan_explain.h"
#include "clementineloom/decision/plan_make.h"
#include "clementineloom/errors/result_code_table.h"
#include "codec/detail/enum_names.h"
#include "support/value_or_die.h"

namespace clementineloom::golden {
namespace {

using codec::detail::NameOf;
using testing_support::ValueOrDie;

std::vector<std::string> SplitWords(const std::string& line) {
  std::istringstream in(line);
  std::vector<std::string> words;
  for (std::string it; in >> it;) {
    words.push_back(it);
  }
  return words;
}

std::string CodeName(ResultCode code) { return std::string(ResultCodeName(code)); }

// Parses "8x2/rack": accelerators for each worker, workers, adjacency.
GangShape ParseShape(const std::string& text) {
  const std::size_t x = text.find('x');
  const std::size_t slash = text.find('/');
  return ValueOrDie([&]() -> Result<GangShape> {
    BOOST_LEAF_AUTO(adjacency, codec::detail::ParseEnum<Adjacency>(text.substr(slash + 1)));
    return GangShape::Create(
        {.accelerators_per_worker = static_cast<std::uint16_t>(std::stoi(text.substr(0, x))),
         .workers = static_cast<std::uint16_t>(std::stoi(text.substr(x + 1, slash - x - 1))),
         .adjacency = adjacency});
  });
}

// Parses "8x2/rack*3": a shape and the guaranteed number of instances.
Guarantee ParseGuarantee(const std::string& text) {
  const std::size_t star = text.find('*');
  return {ParseShape(text.substr(0, star)),
          static_cast<std::uint16_t>(std::stoi(text.substr(star + 1)))};
}

std::string_view ActionName(PlanAction action) {
  switch (action) {
    case PlanAction::kStart:
      return "start";
    case PlanAction::kMove:
      return "move";
    case PlanAction::kWait:
      return "wait";
    case PlanAction::kRefuse:
      break;
  }
  return "refuse";
}

std::string JoinWorkers(const std::vector<std::string>& workers) {
  std::string text;
  for (const std::string& it : workers) {
    text += " " + it;
  }
  return text;
}

}  // namespace

std::string SessionRunner::Run(const std::string& line) {
  using Command = std::string (SessionRunner::*)(const Words&);
  static const std::map<std::string, Command> commands{
      {"data-centre", &SessionRunner::SetUpDataCentre},
      {"team", &SessionRunner::SetUpTeam},
      {"delete-team", &SessionRunner::DeleteTeamByName},
      {"workers", &SessionRunner::RegisterWorkers},
      {"worker", &SessionRunner::ChangeWorker},
      {"replacement", &SessionRunner::RegisterReplacement},
      {"submit", &SessionRunner::Submit},
      {"cancel", &SessionRunner::CancelJobs},
      {"report", &SessionRunner::Report},
      {"decide", &SessionRunner::Decide},
      {"plan", &SessionRunner::PlanDataCentre},
      {"confirm", &SessionRunner::Confirm},
      {"advance", &SessionRunner::Advance},
      {"explain", &SessionRunner::Explain},
      {"show", &SessionRunner::Show},
      {"replay", &SessionRunner::Replay},
      {"repeat-last", &SessionRunner::RepeatLast},
  };
  const Words words = SplitWords(line);
  return (this->*commands.at(words.at(0)))(words);
}

std::string SessionRunner::DeleteTeamByName(const Words& words) {
  return Configure("operator", DeleteTeam{words.at(1)});
}

ApplyOutcome SessionRunner::Append(RecordBody body) {
  log_.push_back(Record{"record-" + std::to_string(log_.size() + 1), std::move(body)});
  return state_.Apply(LogOffset(log_.size()), log_.back());
}

std::string SessionRunner::Configure(const std::string& author, ConfigEdit edit) {
  const ApplyOutcome outcome =
      Append(ConfigChanged{state_.config_revision(), {std::move(edit)}, author});
  return CodeName(outcome.code()) + " revision " +
         std::to_string(state_.config_revision().value()) + "\n";
}

std::string SessionRunner::SetUpDataCentre(const Words& words) {
  const auto data_centre = ValueOrDie([&] {
    return DataCentre::Create({.name = words.at(1), .region = "region-1", .in_service = true});
  });
  return Configure("operator", SetDataCentre{data_centre});
}

std::string SessionRunner::SetUpTeam(const Words& words) {
  Team::Fields fields{.name = words.at(1), .guarantees = {}};
  for (std::size_t n = 2; n < words.size(); ++n) {
    if (words[n] == "no-borrowing") {
      fields.may_borrow = false;
    } else {
      fields.guarantees.push_back(ParseGuarantee(words[n]));
    }
  }
  const auto team = ValueOrDie([&] { return Team::Create(fields); });
  return Configure("operator", SetTeam{team});
}

// replacement NAME DATA_CENTRE RACK: registers one worker of 8 accelerators.
std::string SessionRunner::RegisterReplacement(const Words& words) {
  const auto worker = ValueOrDie([&] {
    return Worker::Create({.name = words.at(1),
                           .address = "127.0.0.1:1",
                           .data_centre = words.at(2),
                           .rack = words.at(3)});
  });
  return CodeName(Append(WorkerRegistered{worker}).code()) + "\n";
}

// workers DATA_CENTRE RACK COUNT: registers COUNT workers of 8 accelerators.
std::string SessionRunner::RegisterWorkers(const Words& words) {
  for (int n = 1; n <= std::stoi(words.at(3)); ++n) {
    const auto worker = ValueOrDie([&] {
      return Worker::Create({.name = words.at(1) + "-" + words.at(2) + "-" + std::to_string(n),
                             .address = "127.0.0.1:1",
                             .data_centre = words.at(1),
                             .rack = words.at(2)});
    });
    (void)Append(WorkerRegistered{worker});
  }
  return {};
}

std::string SessionRunner::ChangeWorker(const Words& words) {
  const auto condition =
      ValueOrDie([&] { return codec::detail::ParseEnum<WorkerCondition>(words.at(2)); });
  return CodeName(Append(WorkerConditionChanged{words.at(1), condition, "session"}).code()) + "\n";
}

std::string SessionRunner::Submit(const Words& words) {
  JobSpec::Fields fields{.team = words.at(2),
                         .job_class = "class",
                         .shape = ParseShape(words.at(3)),
                         .priority = JobPriority::kNormal,
                         .declared_run_time = std::chrono::minutes(10),
                         .command = {}};
  if (words.size() > 4 && words[4] == "urgent") {
    fields.priority = JobPriority::kUrgent;
  }
  const auto spec = ValueOrDie([&] { return JobSpec::Create(fields); });
  return CodeName(Append(JobSubmitted{words.at(1), spec, now_}).code()) + "\n";
}

std::string SessionRunner::CancelJobs(const Words& words) {
  std::vector<JobId> jobs;
  for (std::size_t n = 1; n < words.size(); ++n) {
    jobs.push_back(Job(words[n]));
  }
  return CodeName(Append(JobsCancelled{jobs}).code()) + "\n";
}

// report started|stopped|succeeded|failed KEY: applies a report of the workers of a job.
std::string SessionRunner::Report(const Words& words) {
  const JobId job = Job(words.at(2));
  const std::uint32_t attempt = state_.FindJob(job)->attempt;
  if (words.at(1) == "started") {
    return CodeName(Append(JobStarted{job, attempt}).code()) + "\n";
  }
  if (words.at(1) == "stopped") {
    return CodeName(Append(JobStopped{job, attempt}).code()) + "\n";
  }
  const auto outcome = ValueOrDie([&] { return codec::detail::ParseEnum<JobOutcome>(words[1]); });
  return CodeName(Append(JobFinished{job, attempt, outcome, std::chrono::minutes(5)}).code()) +
         "\n";
}

// Repeats decision passes until one yields no records, as the scheduler does.
std::string SessionRunner::Decide(const Words& /*words*/) {
  constexpr int kMaxPasses = 20;
  std::string text;
  for (int pass = 0; pass < kMaxPasses; ++pass) {
    const std::vector<RecordBody> records = engine_.Decide(state_, now_);
    if (records.empty()) {
      return text.empty() ? "nothing to do\n" : text;
    }
    for (const RecordBody& it : records) {
      const ApplyOutcome outcome = Append(it);
      text += Describe(it, outcome);
    }
  }
  return text + "still deciding\n";
}

// plan NAME DATA_CENTRE in|out
std::string SessionRunner::PlanDataCentre(const Words& words) {
  const auto data_centre = ValueOrDie([&] {
    return DataCentre::Create(
        {.name = words.at(2), .region = "region-1", .in_service = words.at(3) == "in"});
  });
  const Plan plan =
      ValueOrDie([&] { return MakePlan(state_, {SetDataCentre{data_centre}}, engine_, now_); });
  plans_.erase(words.at(1));
  plans_.emplace(words.at(1), plan);
  return Describe(plan);
}

// confirm NAME AUTHOR
std::string SessionRunner::Confirm(const Words& words) {
  const PlanConfirmation confirmation =
      ConfirmPlan(state_, plans_.at(words.at(1)), engine_, now_, words.at(2));
  if (!confirmation.is_accepted()) {
    std::string text = CodeName(confirmation.code()) + "\n";
    if (confirmation.current_plan()) {
      text += "new plan: " + Describe(*confirmation.current_plan());
    }
    return text;
  }
  const ApplyOutcome outcome = Append(*confirmation.record());
  return CodeName(outcome.code()) + " revision " +
         std::to_string(state_.config_revision().value()) + "\n";
}

std::string SessionRunner::Advance(const Words& words) {
  now_ += std::chrono::seconds(std::stoi(words.at(1)));
  return {};
}

std::string SessionRunner::Explain(const Words& words) {
  return clementineloom::Explain(state_, Job(words.at(1))).sentence + "\n";
}

std::string SessionRunner::Show(const Words& /*words*/) {
  std::ostringstream out;
  out << "revision " << state_.config_revision().value() << "\n";
  for (const WorkerEntry& it : state_.workers()) {
    out << it.name << " " << NameOf(it.condition) << " free " << it.free_accelerators << "\n";
  }
  for (const Record& record : log_) {
    const auto* submitted = std::get_if<JobSubmitted>(&record.body);
    const auto job = submitted != nullptr ? state_.FindJobByKey(submitted->key) : std::nullopt;
    if (job && &record == &log_[job->value() - 1]) {
      const JobEntry& entry = *state_.FindJob(*job);
      out << submitted->key << " " << NameOf(entry.phase) << " attempt " << entry.attempt << " "
          << NameOf(entry.outcome) << "\n";
    }
  }
  return out.str();
}

// Models a new instance: rebuilds the state from the start of the log, with a fresh engine.
std::string SessionRunner::Replay(const Words& /*words*/) {
  state_ = ClusterState();
  engine_ = DefaultDecisionEngine();
  for (std::size_t n = 0; n < log_.size(); ++n) {
    (void)state_.Apply(LogOffset(n + 1), log_[n]);
  }
  return "replayed " + std::to_string(log_.size()) + " records\n";
}

// Models the retry of an append whose answer was lost: the record keeps its id.
std::string SessionRunner::RepeatLast(const Words& /*words*/) {
  log_.push_back(Record(log_.back()));
  return CodeName(state_.Apply(LogOffset(log_.size()), log_.back()).code()) + "\n";
}

std::string SessionRunner::Describe(const RecordBody& body, const ApplyOutcome& outcome) const {
  std::ostringstream out;
  if (const auto* placed = std::get_if<JobsPlaced>(&body)) {
    for (std::size_t n = 0; n < placed->placements.size(); ++n) {
      const Placement& it = placed->placements[n];
      out << "place " << Key(it.job()) << " attempt " << it.attempt() << " " << NameOf(it.kind());
      for (const Allocation& allocation : it.allocations()) {
        out << " " << state_.worker(allocation.worker()).name << ":" << allocation.accelerators();
      }
      out << " " << ResultCodeName(outcome.placement_codes()[n]) << "\n";
    }
  } else if (const auto* stop = std::get_if<StopRequested>(&body)) {
    out << "stop " << Key(stop->job) << " " << NameOf(stop->reason) << "\n";
  } else if (const auto* refused = std::get_if<JobRefused>(&body)) {
    out << "refuse " << Key(refused->job) << " " << ResultCodeName(refused->code) << "\n";
  } else if (const auto* changed = std::get_if<WorkerConditionChanged>(&body)) {
    out << "worker " << changed->worker << " " << NameOf(changed->condition) << " "
        << changed->reason << "\n";
  } else if (const auto* finished = std::get_if<JobFinished>(&body)) {
    out << "finish " << Key(finished->job) << " " << NameOf(finished->outcome) << "\n";
  }
  return out.str();
}

std::string SessionRunner::Describe(const Plan& plan) const {
  std::ostringstream out;
  out << "plan against revision " << plan.base_revision().value() << "\n";
  for (const PlanStep& it : plan.steps()) {
    out << ActionName(it.action) << " " << Key(it.job) << JoinWorkers(it.workers) << ": "
        << it.reason << "\n";
  }
  for (const GuaranteeRisk& it : plan.risks()) {
    out << "at risk: " << it.team << " guarantee " << it.guarantee_index << " shapes " << it.shapes
        << "\n";
  }
  return out.str();
}

JobId SessionRunner::Job(const std::string& key) const { return state_.FindJobByKey(key).value(); }

std::string SessionRunner::Key(JobId job) const {
  const JobEntry* entry = state_.FindJob(job);
  return entry == nullptr ? "unknown" : entry->key;
}

}  // namespace clementineloom::golden
