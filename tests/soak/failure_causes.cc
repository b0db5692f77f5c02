#include "soak/failure_causes.h"

#include "soak/task_name.h"

namespace clementineloom::soak {

FailureCauses::FailureCauses(const std::vector<standin::RunEvent>& events, unsigned max_attempts) {
  // Numbers of the failed runs, by task, or by step for a gang.
  std::map<std::string, std::set<std::uint64_t>> failed;
  for (const standin::RunEvent& it : events) {
    if (it.kind != standin::RunEventKind::kEnded || it.how != "failed") {
      continue;
    }
    const std::string unit = it.is_gang ? it.task.substr(0, it.task.rfind('.')) : it.task;
    failed[unit].insert(it.run);
    if (failed[unit].size() >= max_attempts) {
      since_.emplace(JobOfTask(it.task), it.at_ms);
    }
  }
}

}  // namespace clementineloom::soak
