#pragma once

#include <deque>
#include <map>
#include <optional>
#include <utility>

#include "clementineloom/workload/start_copies.h"
#include "clementineloom/workload/steady_time.h"
#include "clementineloom/workload/task_phase.h"
#include "clementineloom/workload/task_run.h"
#include "clementineloom/workload/workload_record.h"

namespace clementineloom::workload {

/// @brief Remembers when an instance read the records of starts, so that it knows as a new owner
/// which orders of its predecessor may still arrive.
///
/// A start is ordered once its record is stored. Records that were loaded instead of followed have
/// no known age and are not noted. Thread safety: none; use from one thread.
class RecentStarts {
 public:
  /// @brief Notes a record that was just read, and forgets starts whose orders can no longer
  /// arrive.
  void OnRecord(const TaskSet& record, SteadyTime now) {
    while (!by_age_.empty() && now - by_age_.front().second > kOrderLifetime) {
      const auto known = read_at_.find(by_age_.front().first);
      if (known != read_at_.end() && known->second == by_age_.front().second) {
        read_at_.erase(known);
      }
      by_age_.pop_front();
    }
    if (record.record && record.record->phase == TaskPhase::kPlaced) {
      const TaskRun run{record.task, record.record->run};
      read_at_[run] = now;
      by_age_.emplace_back(run, now);
    }
  }

  /// @brief Until when the order of a recorded start may arrive; nullopt for one that is older or
  /// not known.
  [[nodiscard]] std::optional<SteadyTime> OrderArrivesUntil(const TaskRun& run) const {
    const auto it = read_at_.find(run);
    return it == read_at_.end() ? std::nullopt : std::optional(it->second + kOrderLifetime);
  }

 private:
  // An order leaves shortly after its record was stored.
  static constexpr Milliseconds kSendMargin{700};
  static constexpr Milliseconds kOrderLifetime = StartCopies::kMaxDelay + kSendMargin;

  std::map<TaskRun, SteadyTime> read_at_;
  // Also holds earlier readings of the same run.
  std::deque<std::pair<TaskRun, SteadyTime>> by_age_;
};

}  // namespace clementineloom::workload
