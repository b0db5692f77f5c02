#pragma once

#include <variant>

#include "clementineloom/workload/workload_record.h"

namespace clementineloom::entry {

/// @brief Whether a record is a submission or cancellation, the kinds that callers cause.
/// Thread safety: may be called from any thread.
[[nodiscard]] inline bool IsCallerRecord(const workload::WorkloadRecord& record) {
  return std::holds_alternative<workload::SubmissionSet>(record) ||
         std::holds_alternative<workload::CancellationSet>(record);
}

/// @brief Whether a record is one of a task or of a job's end, the kinds that only the owner
/// writes. Thread safety: may be called from any thread.
[[nodiscard]] inline bool IsOwnerRecord(const workload::WorkloadRecord& record) {
  return std::holds_alternative<workload::TaskSet>(record) ||
         std::holds_alternative<workload::JobEndSet>(record);
}

}  // namespace clementineloom::entry
