#include "ctl/trace/worker_stays.h"

#include <algorithm>
#include <string>

namespace clementineloom::ctl::trace {

std::vector<WorkerStay> WorkerStaysOf(std::span<const LogLine> job_lines) {
  std::vector<WorkerStay> stays;
  for (const LogLine& it : job_lines) {
    const std::string worker(it.Field("worker"));
    if (worker.empty()) {
      continue;
    }
    auto stay = std::ranges::find(stays, worker, &WorkerStay::worker);
    if (stay == stays.end()) {
      stay = stays.insert(stays.end(), {worker, it.time, it.time});
    }
    stay->until = it.event == "run_ended" ? it.time : job_lines.back().time;
  }
  return stays;
}

}  // namespace clementineloom::ctl::trace
