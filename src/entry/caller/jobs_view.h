#pragma once

#include <chrono>
#include <optional>

#include "entry/caller/caller_hooks.h"
#include "entry/port/call_port.h"

namespace clementineloom::entry {

/// @brief Tells how recent this instance's view of the jobs is.
/// Thread safety: none; use from the thread of the port.
template <CallPort Port>
class JobsView {
 public:
  /// Precondition: the references outlive the view.
  JobsView(Port& port, const CallerHooks& hooks) : port_(port), hooks_(hooks) {}

  /// @brief Time since the last answer of the store; an hour, as good as infinite, before the first
  /// one.
  [[nodiscard]] workload::Milliseconds Age() const { return Since(hooks_.jobs_read_at()); }

  /// @brief Time since which records may have been stored that this instance does not know; an hour
  /// before all jobs are loaded.
  [[nodiscard]] workload::Milliseconds UnknownFor() const {
    return Since(hooks_.jobs_known_until());
  }

  /// @brief Age(), or nothing while the store cannot be reached.
  [[nodiscard]] std::optional<workload::Milliseconds> AgeWithStore() const {
    return hooks_.has_store() ? std::optional(Age()) : std::nullopt;
  }

  /// @brief Whether the view is too old to report a job as missing.
  [[nodiscard]] bool IsStale() const { return UnknownFor() > kMaxAge; }

 private:
  // A job accepted by another instance must be visible here within this time, so that an older view
  // must not report a job as missing.
  static constexpr workload::Milliseconds kMaxAge{2'400};

  [[nodiscard]] workload::Milliseconds Since(
      const std::optional<workload::SteadyTime>& time) const {
    return time ? std::chrono::duration_cast<workload::Milliseconds>(port_.Now() - *time)
                : workload::Milliseconds(std::chrono::hours(1));
  }

  Port& port_;
  const CallerHooks& hooks_;
};

}  // namespace clementineloom::entry
