#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "clementineloom/workload/job_entry.h"
#include "clementineloom/workload/workload_record.h"

namespace clementineloom::workload {

/// @brief The jobs, built from the records of the stream.
///
/// Records set values, so the table is the same after a record is applied twice, and after only
/// the newest record of each key is applied in any order.
/// Thread safety: none; use from one thread.
class JobTable {
 public:
  /// @brief Applies a record; those of owners, instances and leases change nothing here.
  void Apply(const WorkloadRecord& record);

  /// @brief Notes whether the store holds the final state of a job; nothing for an open job. A
  /// state that was applied counts as stored.
  void NoteEndStored(std::string_view job, bool is_stored);

  /// @brief Removes all jobs, before a reload.
  void Clear();

  /// @brief The entry of a job with a submission or a cancellation, or null.
  [[nodiscard]] const JobEntry* Find(std::string_view job) const;

  /// @brief What a step asks for, or null if its submission is not known.
  [[nodiscard]] const StepSpec* FindStep(const StepId& step) const;

  [[nodiscard]] const std::map<std::string, JobEntry, std::less<>>& jobs() const { return jobs_; }

  /// @brief Number of submissions that were set or removed so far.
  [[nodiscard]] std::uint64_t submissions_applied() const { return submissions_applied_; }

  /// @brief Accepted jobs of a queue of which no task has started. Complexity: linear in jobs.
  [[nodiscard]] std::size_t PendingCount(std::string_view queue) const;

 private:
  void Set(const SubmissionSet& record);
  void Set(const CancellationSet& record);
  void Set(const TaskSet& record);
  void Set(const JobEndSet& record);
  void Set(const OwnerSet&) {}
  void Set(const InstanceSet&) {}
  void Set(const LeaseEndSet&) {}
  void DropIfEmpty(const std::string& job);

  std::map<std::string, JobEntry, std::less<>> jobs_;
  std::uint64_t submissions_applied_ = 0;
};

}  // namespace clementineloom::workload
