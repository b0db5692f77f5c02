#pragma once

#include <algorithm>
#include <cstddef>
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
  [[nodiscard]] bool HasFreeSlot(const Upstream& upstream) const {
    const auto it = loads_.find(upstream.worker);
    if (it == loads_.end()) {
      return upstream.slots > 0;
    }
    const Load& load = it->second;
    return load.slow_start.IsOpen(now_) &&
           load.count < std::min<std::uint32_t>(upstream.slots, load.slow_start.limit());
  }

  /// @brief Sets the time at which HasFreeSlot judges pauses.
  void SetNow(MonotonicTime now) { now_ = now; }

  /// @brief Number of workers of which a load is kept.
  [[nodiscard]] std::size_t worker_count() const { return loads_.size(); }

  void Add(WorkerId worker) { ++loads_[worker].count; }

  /// @brief Notes the end of a request; the last one of a worker that left also ends the worker's
  /// entry. Precondition: an Add for the worker has not been removed yet.
  void Remove(WorkerId worker) {
    const auto it = loads_.find(worker);
    --it->second.count;
    if (it->second.has_left && it->second.count == 0) {
      loads_.erase(it);
    }
  }

  /// @brief Notes that the worker returned a complete answer. Call before Remove.
  void Answered(WorkerId worker) {
    Load& load = loads_[worker];
    load.slow_start = load.slow_start.AfterAnswer();
  }

  /// @brief Notes that an attempt at the worker failed. Call before Remove.
  void Failed(WorkerId worker) {
    Load& load = loads_[worker];
    load.slow_start = load.slow_start.AfterFailure(now_);
  }

  /// @brief Notes that the worker joined; it starts with a limit of one request.
  void Joined(WorkerId worker) {
    Load& load = loads_[worker];
    load.slow_start = SlowStart();
    load.has_left = false;
  }

  /// @brief Notes that the worker left. Its count is kept while it has requests in progress.
  void Left(WorkerId worker) {
    const auto it = loads_.find(worker);
    if (it == loads_.end()) {
      return;
    }
    it->second.has_left = true;
    if (it->second.count == 0) {
      loads_.erase(it);
    }
  }

 private:
  struct Load {
    std::uint32_t count = 0;
    SlowStart slow_start;
    bool has_left = false;
  };

  std::unordered_map<WorkerId, Load> loads_;
  MonotonicTime now_;
};

}  // namespace clementineloom
