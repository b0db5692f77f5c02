#pragma once

#include <compare>
#include <string>
#include <vector>

#include "clementineloom/workload/job_table.h"
#include "clementineloom/workload/keyed_value.h"
#include "clementineloom/workload/workload_record.h"

namespace clementineloom::entry {

/// @brief Records that the store takes in one call, all or none. An immutable value.
struct RecordGroup {
  std::vector<workload::KeyedValue> items;
  /// Jobs whose ends are among the records.
  std::vector<std::string> ended_jobs;

  friend auto operator<=>(const RecordGroup&, const RecordGroup&) = default;
};

/// @brief Divides the records of a decision, in their order, into groups that are well below the
/// size of a call to the store. The records of a gang's step stay together: a successor could not
/// continue a gang of which only some members are recorded.
/// Thread safety: a pure function.
/// @param jobs to which the records have been applied
/// @return at least one group
[[nodiscard]] std::vector<RecordGroup> GroupRecords(
    const std::vector<workload::WorkloadRecord>& records, const workload::JobTable& jobs);

}  // namespace clementineloom::entry
