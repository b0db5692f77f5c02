#include "clementineloom/workload/detail/service_use.h"

#include <cstdint>

namespace clementineloom::workload::detail {
namespace {

// A job has to start while less than half of its service is in use. The margin covers runs that
// hold room before they begin and after they have ended.
constexpr std::int64_t kBusyPercent = 60;

bool IsBusyOf(std::int64_t used, std::int64_t capacity) {
  return used * 100 >= capacity * kBusyPercent;
}

}  // namespace

ServiceUse ServiceUse::Of(const WorkerPool& workers) {
  ServiceUse all;
  for (const auto& [id, worker] : workers) {
    Use& use = all.uses_[worker.info.service];
    use.capacity = use.capacity + worker.info.capacity;
    use.used = use.used + worker.used;
  }
  return all;
}

bool ServiceUse::IsBusy(std::string_view service) const {
  const auto it = uses_.find(service);
  if (it == uses_.end()) {
    return false;
  }
  const auto& [capacity, used] = it->second;
  return IsBusyOf(used.cpu_millicores, capacity.cpu_millicores) &&
         IsBusyOf(used.memory_mb, capacity.memory_mb) &&
         IsBusyOf(used.accelerators, capacity.accelerators);
}

}  // namespace clementineloom::workload::detail
