#include "soak/soak_fleet.h"

#include <utility>

namespace clementineloom::soak {
namespace {

constexpr std::size_t kWorkersPerRack = 6;
// Of so many racks, one has workers of the rare kind.
constexpr std::size_t kRareRackInterval = 4;
constexpr std::int64_t kPlainCpuMillicores = 8'000;
constexpr std::int64_t kPlainMemoryMb = 1'000;
constexpr std::int64_t kLargeCpuMillicores = 128'000;
constexpr std::int64_t kLargeMemoryMb = 256'000;

}  // namespace

SoakFleet SoakFleet::Make(JobMix mix, std::size_t workers, std::int64_t accelerators) {
  const bool is_plain = mix == JobMix::kPlain;
  SoakFleet fleet;
  for (std::size_t n = 0; n < workers; ++n) {
    const std::size_t rack = is_plain ? 1 : n / kWorkersPerRack;
    const bool is_rare = !is_plain && rack % kRareRackInterval == kRareRackInterval - 1;
    workload::WorkerInfo worker;
    worker.id = "w" + std::to_string(n);
    worker.service = kService;
    worker.rack = RackName(rack);
    worker.capacity = {is_plain ? kPlainCpuMillicores : kLargeCpuMillicores,
                       is_plain ? kPlainMemoryMb : kLargeMemoryMb, accelerators};
    worker.labels = {is_rare ? kRareKind : kUsualKind, worker.rack};
    fleet.workers_.push_back(std::move(worker));
  }
  return fleet;
}

}  // namespace clementineloom::soak
