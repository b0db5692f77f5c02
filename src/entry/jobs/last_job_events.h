#pragma once

#include <map>
#include <string>
#include <string_view>

#include "clementineloom/workload/steady_time.h"
#include "clementineloom/workload/workload_record.h"
#include "entry/jobs/job_event.h"

namespace clementineloom::entry {

/// @brief Remembers the newest record of each open job that this instance has read, so that the log
/// can tell since when, and under which owner, nothing has happened to a job.
/// Thread safety: none; use from one thread.
class LastJobEvents {
 public:
  /// @brief Notes a record; an end or a cancellation removes its job.
  /// @param epoch of the newest owner that was read
  /// @param is_loaded whether the record was loaded, not read as it was stored
  void OnRecord(const workload::WorkloadRecord& record, workload::SteadyTime now,
                std::uint64_t epoch, bool is_loaded);

  /// @brief Forgets all jobs.
  void Clear() { events_.clear(); }

  /// @brief The newest record of a job, or null if none is known.
  [[nodiscard]] const JobEvent* Find(std::string_view job) const;

 private:
  std::map<std::string, JobEvent, std::less<>> events_;
};

}  // namespace clementineloom::entry
