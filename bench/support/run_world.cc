#include "support/run_world.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "support/checked.h"

namespace clementineloom::bench {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

// Time to reserve, start and commit a gang.
constexpr Duration kStartTime = milliseconds(200);
// Time to checkpoint and stop an attempt.
constexpr Duration kStopTime = seconds(5);
constexpr Duration kTickInterval = seconds(30);
// Runs end at this time even if their queue is not empty.
constexpr Duration kMaxLength = hours(72);
// Part of the measured change after the return, because work has to spread to the data centre
// again.
constexpr Duration kRecoveryTime = minutes(30);

TimeWindow MeasuredWindow(const Workload& workload) {
  return {workload.out_of_service.from, workload.out_of_service.to + kRecoveryTime};
}

double AcceleratorHours(Duration time) {
  return std::chrono::duration<double, std::ratio<3600>>(time).count();
}

}  // namespace

RunWorld::RunWorld(const Deployment& deployment, const Workload& workload,
                   GuaranteeAccounting accounting)
    : workload_(workload),
      is_cancelled_(workload.arrivals.size()),
      fleet_(MeasuredWindow(workload)),
      observer_(accounting),
      deadline_(Instant() + kMaxLength) {
  Setup(deployment);
  ScheduleWorkload();
}

bool RunWorld::Advance() {
  if (events_.IsEmpty()) {
    return false;
  }
  const Event event = events_.TakeNext();
  if (event.at > deadline_) {
    return false;
  }
  now_ = event.at;
  std::visit([&](const auto& it) { Handle(it); }, event.body);
  observer_.AddEvent(state_);
  return true;
}

bool RunWorld::Append(std::vector<RecordBody> records) {
  bool has_effect = false;
  for (RecordBody& body : records) {
    const bool is_quarantine = std::holds_alternative<WorkerConditionChanged>(body);
    if (is_quarantine) {
      observer_.AddDecision(state_);
    }
    const ApplyOutcome outcome = Apply(std::move(body));
    if (is_quarantine) {
      observer_.AddEvent(state_);
    }
    const auto& codes = outcome.placement_codes();
    const bool is_void =
        !outcome.accepted() || (!codes.empty() && std::ranges::count(codes, ResultCode::kOk) == 0);
    counts_.void_records += is_void ? 1 : 0;
    has_effect |= !is_void;
  }
  return has_effect;
}

RunFigures RunWorld::Finish() {
  for (const auto& [job, arrival] : arrivals_by_job_) {
    const JobEntry* entry = state_.FindJob(job);
    if (entry != nullptr && entry->phase != JobPhase::kEnded) {
      AddCompletion(arrival, now_ - workload_.arrivals[arrival].at);
      ++counts_.unfinished;
    }
  }
  RunFigures figures = observer_.Figures();
  figures.work_in_change = AcceleratorHours(fleet_.measured_work());
  figures.refused = counts_.refused;
  figures.failed = counts_.failed;
  figures.unfinished = counts_.unfinished;
  figures.records = last_record_;
  figures.void_records = counts_.void_records;
  figures.stops = counts_.stops;
  return figures;
}

void RunWorld::Setup(const Deployment& deployment) {
  std::vector<ConfigEdit> edits;
  for (const DataCentre& it : deployment.data_centres) {
    data_centres_.emplace(it.name(), it);
    edits.emplace_back(SetDataCentre{it});
  }
  for (const Team& it : deployment.teams) {
    edits.emplace_back(SetTeam{it});
  }
  (void)Apply(ConfigChanged{state_.config_revision(), std::move(edits), "benchmark"});
  for (const Worker& it : deployment.workers) {
    workers_.emplace(it.name(), it);
    (void)Apply(WorkerRegistered{it});
  }
}

void RunWorld::ScheduleWorkload() {
  for (std::size_t n = 0; n < workload_.arrivals.size(); ++n) {
    events_.Add(workload_.arrivals[n].at, ArrivalDue{n});
  }
  for (std::size_t n = 0; n < workload_.cancel_waves.size(); ++n) {
    events_.Add(workload_.cancel_waves[n].at, CancelDue{n});
    for (const std::string& key : workload_.cancel_waves[n].keys) {
      const auto it = std::ranges::find(workload_.arrivals, key, &Arrival::key);
      is_cancelled_[static_cast<std::size_t>(it - workload_.arrivals.begin())] = true;
    }
  }
  for (std::size_t n = 0; n < workload_.worker_losses.size(); ++n) {
    events_.Add(workload_.worker_losses[n].lost_at, WorkerDue{n, false});
    events_.Add(workload_.worker_losses[n].back_at, WorkerDue{n, true});
  }
  events_.Add(workload_.out_of_service.from, DataCentreDue{false});
  events_.Add(workload_.out_of_service.to, DataCentreDue{true});
  events_.Add(Instant() + kTickInterval, TickDue{});
}

ApplyOutcome RunWorld::Apply(RecordBody body) {
  const Record record{"r" + std::to_string(++last_record_), std::move(body)};
  ApplyOutcome outcome = state_.Apply(LogOffset(last_record_), record);
  if (outcome.accepted()) {
    std::visit([&](const auto& it) { React(it, outcome); }, record.body);
  }
  return outcome;
}

void RunWorld::Handle(const ArrivalDue& event) {
  const Arrival& arrival = workload_.arrivals[event.index];
  const ApplyOutcome outcome = Apply(JobSubmitted{arrival.key, arrival.spec, now_});
  jobs_by_key_.emplace(arrival.key, outcome.job());
  arrivals_by_job_.emplace(outcome.job(), event.index);
  fleet_.AddJob(outcome.job(), arrival.run_time);
}

void RunWorld::Handle(const CancelDue& event) {
  std::vector<JobId> jobs;
  for (const std::string& key : workload_.cancel_waves[event.index].keys) {
    jobs.push_back(jobs_by_key_.at(key));
  }
  (void)Apply(JobsCancelled{jobs});
  for (const JobId id : jobs) {
    const JobEntry* job = state_.FindJob(id);
    if (job->phase == JobPhase::kStopping) {
      fleet_.Checkpoint(id, now_);
      events_.Add(now_ + kStopTime, StopDue{id, job->attempt});
    }
  }
}

void RunWorld::Handle(const DataCentreDue& event) {
  const DataCentre& now = data_centres_.at(workload_.changing_data_centre);
  const DataCentre next = Checked([&] {
    return DataCentre::Create(
        {.name = now.name(), .region = now.region(), .in_service = event.in_service});
  });
  (void)Apply(ConfigChanged{state_.config_revision(), {SetDataCentre{next}}, "benchmark"});
}

void RunWorld::Handle(const WorkerDue& event) {
  const std::string& name = workload_.worker_losses[event.index].worker;
  if (event.is_back) {
    (void)Apply(WorkerRegistered{workers_.at(name)});
    return;
  }
  const std::vector<JobId> jobs = state_.worker(*state_.FindWorker(name)).jobs;
  for (const JobId job : jobs) {
    fleet_.Lose(job, now_);
  }
  (void)Apply(WorkerConditionChanged{name, WorkerCondition::kLost, "benchmark"});
}

void RunWorld::Handle(const StartDue& event) {
  const JobEntry* job = state_.FindJob(event.job);
  if (!Apply(JobStarted{event.job, event.attempt}).accepted()) {
    return;
  }
  const Instant end =
      fleet_.Start(event.job, event.attempt, job->spec->shape().total_accelerators(),
                   RunsOnFailingWorker(*job), now_);
  events_.Add(end, EndDue{event.job, event.attempt});
}

void RunWorld::Handle(const EndDue& event) {
  const auto run = fleet_.RunningAttempt(event.job);
  if (!run || run->attempt != event.attempt) {
    return;
  }
  if (run->will_fail) {
    const auto suspect = state_.FindWorker(workload_.failing_worker);
    (void)Apply(StopRequested{event.job, event.attempt, StopReason::kAttemptFailed, suspect});
    return;
  }
  fleet_.Checkpoint(event.job, now_);
  const std::size_t arrival = arrivals_by_job_.at(event.job);
  AddCompletion(arrival, now_ - workload_.arrivals[arrival].at);
  (void)Apply(
      JobFinished{event.job, event.attempt, JobOutcome::kSucceeded, now_ - run->started_at});
}

void RunWorld::Handle(const StopDue& event) { (void)Apply(JobStopped{event.job, event.attempt}); }

void RunWorld::Handle(const TickDue&) {
  const bool is_idle = state_.waiting_jobs().empty() && state_.active_jobs().empty();
  if (!is_idle || !events_.IsEmpty()) {
    events_.Add(now_ + kTickInterval, TickDue{});
  }
}

void RunWorld::React(const JobsPlaced& body, const ApplyOutcome& outcome) {
  for (std::size_t n = 0; n < body.placements.size(); ++n) {
    if (outcome.placement_codes()[n] == ResultCode::kOk) {
      const Placement& placement = body.placements[n];
      events_.Add(now_ + kStartTime, StartDue{placement.job(), placement.attempt()});
    }
  }
}

void RunWorld::React(const StopRequested& body, const ApplyOutcome&) {
  ++counts_.stops;
  fleet_.Checkpoint(body.job, now_);
  events_.Add(now_ + kStopTime, StopDue{body.job, body.attempt});
}

void RunWorld::React(const JobStopped& body, const ApplyOutcome&) {
  fleet_.Checkpoint(body.job, now_);
}

void RunWorld::React(const JobRefused& body, const ApplyOutcome&) {
  ++counts_.refused;
  counts_.failed += workload_.arrivals[arrivals_by_job_.at(body.job)].can_run ? 1 : 0;
}

void RunWorld::React(const JobFinished& body, const ApplyOutcome&) {
  counts_.failed += body.outcome == JobOutcome::kFailed ? 1 : 0;
}

bool RunWorld::RunsOnFailingWorker(const JobEntry& job) const {
  const auto failing = state_.FindWorker(workload_.failing_worker);
  return std::ranges::any_of(job.allocations,
                             [&](const Allocation& it) { return it.worker() == *failing; });
}

void RunWorld::AddCompletion(std::size_t arrival, Duration time) {
  if (!is_cancelled_[arrival]) {
    observer_.AddCompletion(workload_.arrivals[arrival].size_class, time);
  }
}

}  // namespace clementineloom::bench
