#pragma once

#include <optional>

#include "clementineloom/workload/steady_time.h"
#include "clementineloom/workload/task_run.h"

namespace clementineloom::entry {

/// @brief Detects a worker that leaves all orders without an answer although it answers polls.
/// Thread safety: none; use from one thread.
class OrderSilence {
 public:
  /// @brief Notes an order that has timed out.
  void OnUnanswered(workload::SteadyTime now) {
    if (!last_ || now - *last_ > kMaxPause) {
      first_ = now;
    }
    last_ = now;
    is_lasting_ = is_lasting_ || now - first_ >= kLimit;
  }

  /// @brief Notes an answer to an order, which ends the silence.
  void OnAnswered() { *this = OrderSilence(); }

  /// @brief Whether no order has been answered for so long that the worker's lease is let go.
  [[nodiscard]] bool IsLasting() const { return is_lasting_; }

  /// @brief Whether the stop of a run is the one that is repeated after the run was given up, to
  /// notice the end of a lasting silence. The first run that is asked about is chosen.
  [[nodiscard]] bool IsProbedBy(const workload::TaskRun& run) {
    if (is_lasting_ && !probe_) {
      probe_ = run;
    }
    return is_lasting_ && *probe_ == run;
  }

 private:
  // Time for several repetitions of an order.
  static constexpr workload::Milliseconds kLimit{5'000};
  // Orders are repeated at intervals below this; after a longer pause a new silence begins.
  static constexpr workload::Milliseconds kMaxPause{2'000};

  workload::SteadyTime first_;
  std::optional<workload::SteadyTime> last_;
  bool is_lasting_ = false;
  std::optional<workload::TaskRun> probe_;
};

}  // namespace clementineloom::entry
