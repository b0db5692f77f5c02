#include "recovery/work_watch.h"

namespace clementineloom::bench {

WorkWatch::WorkWatch(const standin::StandInCluster& cluster, workload::Milliseconds run_time)
    : cluster_(cluster), run_time_ms_(run_time.count()) {
  for (std::size_t n = 0; n < cluster_.workers.size(); ++n) {
    for (const auto& [task, run] : cluster_.workers[n]->running()) {
      open_[task] = {task, n, run.started_at_ms};
    }
  }
}

void WorkWatch::OnTaskStart(const TaskStart& start) {
  if (const auto it = open_.find(start.task); it != open_.end()) {
    it->second = start;
  }
}

bool WorkWatch::IsAllAtWork() {
  const std::int64_t now_ms = cluster_.world.ElapsedMs();
  bool is_all_at_work = true;
  for (auto it = open_.begin(); it != open_.end();) {
    const bool is_running = cluster_.workers[it->second.worker]->running().contains(it->first);
    if (!is_running && now_ms == it->second.at_ms + run_time_ms_) {
      it = open_.erase(it);
      continue;
    }
    is_all_at_work = is_all_at_work && is_running;
    ++it;
  }
  return is_all_at_work;
}

}  // namespace clementineloom::bench
