#pragma once

#include <cstdint>
#include <vector>

#include "clementineloom/workload/job_table.h"
#include "clementineloom/workload/workload_record.h"

namespace clementineloom::workload {

/// @brief The submissions of open jobs that were accepted later than now, as if accepted now.
///
/// The clock of day that they were accepted by was ahead of this one, or this one has been set back
/// since. Waits that are counted from the acceptance would last longer by the difference.
/// Complexity: linear in jobs. Thread safety: pure function.
/// @param unix_now_ms present Unix time
[[nodiscard]] std::vector<SubmissionSet> AcceptedInTheFuture(const JobTable& jobs,
                                                             std::int64_t unix_now_ms);

}  // namespace clementineloom::workload
