#include "scheduler/operator/operator_views.h"

#include <algorithm>

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

// Workers that could take one task of the shape now.
std::size_t FreeWorkers(const ClusterState& state, const GangShape& shape) {
  std::size_t n = 0;
  for (std::size_t it = 0; it < state.workers().size(); ++it) {
    const WorkerId id(static_cast<WorkerId::rep>(it));
    const bool has_room = state.worker(id).free_accelerators >= shape.accelerators_per_worker();
    n += has_room && state.IsPlaceable(id) ? 1 : 0;
  }
  return n;
}

std::string ExplainWaiting(const ClusterState& state, JobId id, const JobEntry& job) {
  const GangShape& shape = job.spec->shape();
  const auto before = std::distance(state.waiting_jobs().begin(), state.waiting_jobs().find(id));
  return "waits for " + std::to_string(shape.workers()) + " workers with " +
         std::to_string(shape.accelerators_per_worker()) + " free accelerators each, adjacent by " +
         std::string(NameOf(shape.adjacency())) + "; " + std::to_string(FreeWorkers(state, shape)) +
         " such workers are free in all, " + std::to_string(before) + " waiting jobs are older, " +
         std::to_string(job.failures) + " attempts failed";
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
    return Explanation{ExplainWaiting(state, job, *entry)};
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
