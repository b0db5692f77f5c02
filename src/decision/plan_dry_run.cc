#include "clementineloom/decision/plan_dry_run.h"

#include <algorithm>
#include <string>
#include <utility>

#include "clementineloom/decision/plan_explain.h"
#include "clementineloom/errors/result_code_table.h"

namespace clementineloom {
namespace {

constexpr char kAuthor[] = "rehearsal";

std::string StopText(StopReason reason) {
  switch (reason) {
    case StopReason::kReclaim:
      return "a team reclaims its guarantee";
    case StopReason::kDataCentreOut:
      return "its data centre is out of service";
    case StopReason::kWorkerLost:
      return "a worker is lost";
    case StopReason::kWorkerLeaving:
      return "a worker is leaving";
    case StopReason::kAttemptFailed:
      return "its attempt failed";
    case StopReason::kStartDeadline:
      return "it did not start in time";
    case StopReason::kCancelled:
      return "it was cancelled";
    case StopReason::kNone:
      break;
  }
  return "of an earlier decision";
}

std::string CapacityText(CapacityKind kind) {
  return kind == CapacityKind::kGuaranteed ? "its team's guarantee" : "borrowed capacity";
}

std::vector<std::string> WorkerNames(const ClusterState& state, const JobEntry& job) {
  std::vector<std::string> names;
  names.reserve(job.allocations.size());
  for (const Allocation& it : job.allocations) {
    names.push_back(state.worker(it.worker()).name);
  }
  std::ranges::sort(names);
  return names;
}

bool HoldsWorkers(const JobEntry& job) { return !job.allocations.empty(); }

std::optional<Instant> ExpectedCompletion(const PlanForecast& forecast, JobId job) {
  const auto it = std::ranges::lower_bound(forecast.completions, job, {}, &PlanCompletion::job);
  const bool is_known = it != forecast.completions.end() && it->job == job;
  return is_known ? std::optional(it->expected_at) : std::nullopt;
}

PlanStep WithoutWorkers(JobId id, PlanAction action, const JobEntry& job, std::string reason) {
  return {.job = id,
          .action = action,
          .team = job.spec->team(),
          .workers = {},
          .kind = CapacityKind::kBorrowed,
          .reason = std::move(reason),
          .expected_completion = std::nullopt};
}

}  // namespace

Result<PlanDryRun> PlanDryRun::Create(const ClusterState& original, std::vector<ConfigEdit> edits) {
  PlanDryRun dry_run(original, std::move(edits));
  const ApplyOutcome outcome =
      dry_run.Apply(ConfigChanged{dry_run.base_revision_, dry_run.edits_, kAuthor});
  if (!outcome.accepted()) {
    return Refuse(outcome.code(), "edits: " + std::string(ResultCodeName(outcome.code())));
  }
  dry_run.AcknowledgeStops();
  return dry_run;
}

PlanDryRun::PlanDryRun(const ClusterState& original, std::vector<ConfigEdit> edits)
    : copy_(original), base_revision_(original.config_revision()), edits_(std::move(edits)) {}

bool PlanDryRun::Append(std::vector<RecordBody> records) {
  bool has_effect = false;
  for (RecordBody& body : records) {
    has_effect |= ApplyDecided(std::move(body));
  }
  AcknowledgeStops();
  return has_effect && records_ < kMaxRecords;
}

Plan PlanDryRun::ToPlan(const ClusterState& original, const PlanForecast& forecast) const {
  Plan::Fields fields{.base_revision = base_revision_,
                      .edits = edits_,
                      .steps = {},
                      .risks = forecast.risks,
                      .is_complete = records_ < kMaxRecords};
  std::vector<JobId> jobs(original.waiting_jobs().begin(), original.waiting_jobs().end());
  jobs.insert(jobs.end(), original.active_jobs().begin(), original.active_jobs().end());
  std::ranges::sort(jobs);
  for (const JobId id : jobs) {
    if (auto step = StepFor(id, *original.FindJob(id), forecast)) {
      fields.steps.push_back(*std::move(step));
    }
  }
  return Plan(std::move(fields));
}

ApplyOutcome PlanDryRun::Apply(RecordBody body) {
  const LogOffset offset(copy_.applied_offset().value() + 1);
  ++records_;
  return copy_.Apply(offset,
                     Record{"rehearsal/" + std::to_string(offset.value()), std::move(body)});
}

bool PlanDryRun::ApplyDecided(RecordBody body) {
  const ApplyOutcome outcome = Apply(std::move(body));
  const auto& codes = outcome.placement_codes();
  return outcome.accepted() &&
         (codes.empty() || std::ranges::find(codes, ResultCode::kOk) != codes.end());
}

void PlanDryRun::AcknowledgeStops() {
  std::vector<RecordBody> stops;
  for (const JobId id : copy_.active_jobs()) {
    const JobEntry& job = *copy_.FindJob(id);
    if (job.phase == JobPhase::kStopping) {
      stopped_.insert_or_assign(id, job.stop_reason);
      stops.emplace_back(JobStopped{id, job.attempt});
    }
  }
  for (RecordBody& body : stops) {
    (void)Apply(std::move(body));
  }
}

std::optional<PlanStep> PlanDryRun::StepFor(JobId id, const JobEntry& before,
                                            const PlanForecast& forecast) const {
  const JobEntry* after = copy_.FindJob(id);
  if (after == nullptr || after->phase == JobPhase::kEnded) {
    const bool is_refused = after != nullptr && after->outcome == JobOutcome::kRefused;
    // A job that ended with another outcome was already being cancelled, which a plan does not
    // affect.
    return is_refused ? std::optional(WithoutWorkers(id, PlanAction::kRefuse, before,
                                                     "No configured capacity can hold the job."))
                      : std::nullopt;
  }
  if (!HoldsWorkers(*after)) {
    return WithoutWorkers(id, PlanAction::kWait, before, WaitReason(id, before));
  }
  if (after->attempt == before.attempt) {
    return std::nullopt;
  }
  const PlanAction action = HoldsWorkers(before) ? PlanAction::kMove : PlanAction::kStart;
  return PlanStep{.job = id,
                  .action = action,
                  .team = before.spec->team(),
                  .workers = WorkerNames(copy_, *after),
                  .kind = after->kind,
                  .reason = PlaceReason(id, action, after->kind),
                  .expected_completion = ExpectedCompletion(forecast, id)};
}

StopReason PlanDryRun::stop_reason(JobId id) const {
  const auto it = stopped_.find(id);
  return it == stopped_.end() ? StopReason::kNone : it->second;
}

std::string PlanDryRun::WaitReason(JobId id, const JobEntry& before) const {
  if (HoldsWorkers(before)) {
    return "The job loses its workers because " + StopText(stop_reason(id)) +
           ", and no other place is found for it.";
  }
  return Explain(copy_, id).sentence;
}

std::string PlanDryRun::PlaceReason(JobId id, PlanAction action, CapacityKind kind) const {
  if (action == PlanAction::kStart) {
    return "The job starts on " + CapacityText(kind) + ".";
  }
  return "The job moves to " + CapacityText(kind) + " because " + StopText(stop_reason(id)) + ".";
}

}  // namespace clementineloom
