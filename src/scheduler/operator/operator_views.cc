#include "scheduler/operator/operator_views.h"

#include <algorithm>

#include "clementineloom/decision/plan_explain.h"
#include "codec/detail/enum_names.h"

namespace clementineloom::scheduler {
namespace {

using codec::detail::NameOf;

JobView ViewOf(const ClusterState& state, JobId id, const JobEntry& job) {
  std::vector<std::string> workers;
  workers.reserve(job.allocations.size());
  for (const Allocation& it : job.allocations) {
    workers.push_back(state.worker(it.worker()).name);
  }
  return {.job = id,
          .key = job.key,
          .spec = *job.spec,
          .submitted_at = job.submitted_at,
          .phase = job.phase,
          .outcome = job.outcome,
          .stop_reason = job.stop_reason,
          .kind = job.kind,
          .attempt = job.attempt,
          .failures = job.failures,
          .workers = std::move(workers)};
}

}  // namespace

ConfigView ConfigViewOf(const ClusterState& state) {
  ConfigView view{state.config_revision(), {}, {}};
  for (const DataCentreEntry& it : state.data_centres()) {
    view.data_centres.push_back(it.data_centre);
  }
  for (const TeamEntry& it : state.teams()) {
    if (!it.deleted) {
      view.teams.push_back(it.team);
    }
  }
  return view;
}

std::vector<WorkerView> WorkerViewsOf(const ClusterState& state) {
  std::vector<WorkerView> views;
  views.reserve(state.workers().size());
  for (const WorkerEntry& it : state.workers()) {
    views.push_back({.name = it.name,
                     .address = it.address,
                     .data_centre = state.data_centre(it.data_centre).data_centre.name(),
                     .rack = state.rack(it.rack).name,
                     .accelerators = it.accelerators,
                     .free_accelerators = it.free_accelerators,
                     .condition = it.condition,
                     .jobs = it.jobs.size()});
  }
  return views;
}

std::vector<JobView> JobViewsOf(const ClusterState& state) {
  std::vector<JobView> views;
  views.reserve(state.jobs().size());
  for (const auto& [id, job] : state.jobs()) {
    views.push_back(ViewOf(state, id, job));
  }
  std::ranges::sort(views, {}, &JobView::job);
  return views;
}

Result<JobView> JobViewOf(const ClusterState& state, JobId job) {
  const JobEntry* entry = state.FindJob(job);
  if (entry == nullptr) {
    return Refuse(ResultCode::kUnknownJob, "job " + std::to_string(job.value()));
  }
  return ViewOf(state, job, *entry);
}

Result<Explanation> Explain(const ClusterState& state, JobId job) {
  const JobEntry* entry = state.FindJob(job);
  if (entry == nullptr) {
    return Refuse(ResultCode::kUnknownJob, "job " + std::to_string(job.value()));
  }
  if (entry->phase == JobPhase::kWaiting) {
    return Explanation{clementineloom::Explain(state, job).sentence};
  }
  std::string text(NameOf(entry->phase));
  if (entry->phase == JobPhase::kEnded) {
    text += ": " + std::string(NameOf(entry->outcome));
  } else if (entry->phase == JobPhase::kStopping) {
    text += " because of " + std::string(NameOf(entry->stop_reason));
  }
  return Explanation{text + ", attempt " + std::to_string(entry->attempt)};
}

}  // namespace clementineloom::scheduler
