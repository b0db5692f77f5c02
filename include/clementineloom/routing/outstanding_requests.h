#pragma once

#include <algorithm>
#include <cstdint>
#include <unordered_map>

#include "clementineloom/model/worker_id.h"
#include "clementineloom/routing/monotonic_time.h"
#include "clementineloom/routing/slow_start.h"
#include "clementineloom/routing/upstream.h"

namespace clementineloom {

/// @brief Counts the requests in progress at each worker and ramps up workers that joined.
///
/// Thread safety: none, one thread owns it.
class OutstandingRequests {
 public:
  [[nodiscard]] std::uint32_t At(WorkerId worker) const {
    const auto it = loads_.find(worker);
    return it == loads_.end() ? 0 : it->second.count;
  }

  /// @brief Whether the upstream has a free slot as of the time set last.
  [[nodiscard]] bool HasRoom(const Upstream& upstream) const {
    const auto it = loads_.find(upstream.worker);
    if (it == loads_.end()) {
      return upstream.slots > 0;
    }
    const Load& load = it->second;
    return load.slow_start.IsOpen(now_) &&
           load.count < std::min<std::uint32_t>(upstream.slots, load.slow_start.limit());
  }

  /// @brief Sets the time at which HasRoom judges pauses.
  void SetNow(MonotonicTime now) { now_ = now; }

  void Add(WorkerId worker) { ++loads_[worker].count; }

  /// Precondition: an Add for the worker has not been removed yet.
  void Remove(WorkerId worker) { --loads_.find(worker)->second.count; }

  /// @brief The worker gave a whole answer.
  void Answered(WorkerId worker) {
    Load& load = loads_[worker];
    load.slow_start = load.slow_start.AfterAnswer();
  }

  /// @brief An attempt at the worker failed.
  void Failed(WorkerId worker) {
    Load& load = loads_[worker];
    load.slow_start = load.slow_start.AfterFailure(now_);
  }

  /// @brief The worker joined: it starts with one request.
  void Joined(WorkerId worker) { loads_[worker].slow_start = SlowStart(); }

  /// @brief The worker left; its count stays until its last request ends.
  void Left(WorkerId worker) {
    const auto it = loads_.find(worker);
    if (it != loads_.end() && it->second.count == 0) {
      loads_.erase(it);
    }
  }

 private:
  struct Load {
    std::uint32_t count = 0;
    SlowStart slow_start;
  };

  std::unordered_map<WorkerId, Load> loads_;
  MonotonicTime now_;
};

}  // namespace clementineloom
