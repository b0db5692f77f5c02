#include "clementineloom/workload/detail/rack_reserve.h"

#include <algorithm>
#include <tuple>

namespace clementineloom::workload::detail {

RackReserve ChooseRackReserve(std::vector<RackLoad> racks, std::int64_t accelerators) {
  std::sort(racks.begin(), racks.end(), [](const RackLoad& a, const RackLoad& b) {
    // Compares the shares of the racks that other work holds, without a division.
    return std::tuple(a.less_urgent * b.accelerators, a.rack) <
           std::tuple(b.less_urgent * a.accelerators, b.rack);
  });
  RackReserve reserve;
  for (auto it = racks.begin(); it != racks.end() && accelerators > 0; ++it) {
    const std::int64_t kept = std::min(it->accelerators, accelerators);
    if (kept > 0) {
      reserve.emplace(it->rack, kept);
      accelerators -= kept;
    }
  }
  return reserve;
}

}  // namespace clementineloom::workload::detail
