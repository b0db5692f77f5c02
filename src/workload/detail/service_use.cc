#include "clementineloom/workload/detail/service_use.h"

#include <cstdint>

namespace clementineloom::workload::detail {
namespace {

// A job has to start while less than half of its service is in use. The margin covers runs that
// hold room before they begin and after they have ended.
constexpr std::int64_t kBusyPercent = 60;

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

bool ServiceUse::Use::IsBusyIn(std::int64_t Resources::*resource) const {
  return used.*resource * 100 >= capacity.*resource * kBusyPercent;
}

bool ServiceUse::IsBusy(std::string_view service) const {
  const auto it = uses_.find(service);
  return it != uses_.end() && it->second.IsBusyIn(&Resources::cpu_millicores) &&
         it->second.IsBusyIn(&Resources::memory_mb) &&
         it->second.IsBusyIn(&Resources::accelerators);
}

bool ServiceUse::HasBusyAccelerators(std::string_view service) const {
  const auto it = uses_.find(service);
  return it != uses_.end() && it->second.IsBusyIn(&Resources::accelerators);
}

}  // namespace clementineloom::workload::detail
