#pragma once

#include <chrono>
#include <compare>
#include <cstddef>
#include <optional>
#include <string>

namespace clementineloom::soak {

/// @brief What callers know of one job from the outcomes of its requests.
struct JobHistory {
  using Time = std::chrono::steady_clock::time_point;

  /// Path of the job, and the body that submits it.
  std::string path;
  std::string body;
  std::size_t submissions = 0;
  /// Submissions that were answered with 429, 503 or another 4xx, or never sent.
  std::size_t rejected = 0;
  /// When the first 2xx to a submission was read.
  std::optional<Time> accepted;
  /// When the first byte of the first cancellation was written. The job may be cancelled from then
  /// on, whatever the answer.
  std::optional<Time> cancel_sent;
  /// When the first 2xx to a cancellation was read.
  std::optional<Time> cancelled;

  /// @brief Whether every submission was rejected, so that the job must never run.
  [[nodiscard]] bool is_refused() const { return submissions > 0 && rejected == submissions; }

  friend auto operator<=>(const JobHistory&, const JobHistory&) = default;
};

}  // namespace clementineloom::soak
