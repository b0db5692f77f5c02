#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "entry/jobs/job_removal.h"

namespace clementineloom::entry {

/// @brief Remembers the jobs that were last removed from this instance's view, for the log.
/// Thread safety: none; use from one thread.
class RemovedJobs {
 public:
  /// Number of jobs that are remembered; bounds the memory.
  static constexpr std::size_t kCapacity = 1'000;

  /// @brief Notes a removal; a job that is already remembered keeps its first one.
  void Note(const std::string& job, const JobRemoval& removal) {
    if (!removals_.emplace(job, removal).second) {
      return;
    }
    order_.push_back(job);
    if (order_.size() > kCapacity) {
      removals_.erase(order_.front());
      order_.pop_front();
    }
  }

  /// @brief The removal of a job, or nothing if none is remembered.
  [[nodiscard]] std::optional<JobRemoval> Find(std::string_view job) const {
    const auto found = removals_.find(job);
    return found == removals_.end() ? std::nullopt : std::optional(found->second);
  }

 private:
  std::map<std::string, JobRemoval, std::less<>> removals_;
  // In the order of their removal.
  std::deque<std::string> order_;
};

}  // namespace clementineloom::entry
