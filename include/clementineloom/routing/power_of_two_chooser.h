#pragma once

#include <algorithm>
#include <cstddef>
#include <random>
#include <span>
#include <utility>
#include <vector>

#include "clementineloom/routing/random_source.h"
#include "clementineloom/routing/upstream_chooser.h"

namespace clementineloom {

/// @brief Takes the less loaded of two upstreams drawn at random, and scans all of them only when
/// neither has a free slot.
///
/// Complexity: constant while slots are free, else linear in the upstreams. Thread safety: none.
template <RandomSource Random>
class PowerOfTwoChooser {
 public:
  explicit PowerOfTwoChooser(Random random) : random_(std::move(random)) {}

  /// @return nullptr when no upstream has a free slot. The pointer is into the view.
  [[nodiscard]] const Upstream* Choose(const RoutingView& view,
                                       const OutstandingRequests& outstanding,
                                       std::span<const WorkerId> excluded) {
    const auto& upstreams = view.upstreams();
    if (upstreams.empty()) {
      return nullptr;
    }
    std::uniform_int_distribution<std::size_t> index(0, upstreams.size() - 1);
    const Upstream& first = upstreams[index(random_)];
    const Upstream& second = upstreams[index(random_)];
    const Upstream& better =
        outstanding.At(second.worker) < outstanding.At(first.worker) ? second : first;
    if (IsUsable(better, outstanding, excluded)) {
      return &better;
    }
    return LeastLoaded(upstreams, outstanding, excluded);
  }

 private:
  static bool IsUsable(const Upstream& upstream, const OutstandingRequests& outstanding,
                       std::span<const WorkerId> excluded) {
    return outstanding.HasFreeSlot(upstream) &&
           std::ranges::find(excluded, upstream.worker) == excluded.end();
  }

  static const Upstream* LeastLoaded(const std::vector<Upstream>& upstreams,
                                     const OutstandingRequests& outstanding,
                                     std::span<const WorkerId> excluded) {
    const Upstream* best = nullptr;
    for (const Upstream& it : upstreams) {
      if (IsUsable(it, outstanding, excluded) &&
          (best == nullptr || outstanding.At(it.worker) < outstanding.At(best->worker))) {
        best = &it;
      }
    }
    return best;
  }

  Random random_;
};

}  // namespace clementineloom
