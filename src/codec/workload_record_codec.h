#pragma once

#include "clementineloom/errors/result.h"
#include "clementineloom/workload/keyed_value.h"
#include "clementineloom/workload/workload_record.h"

namespace clementineloom::codec {

/// @brief The record as a key and a value of a compacted topic; a record that deletes an item has
/// an empty value. Thread safety: a pure function.
[[nodiscard]] workload::KeyedValue EncodeWorkloadRecord(const workload::WorkloadRecord& record);

/// @brief Reads a record. Errors: kCorruptRecord (names the key). Thread safety: a pure function.
[[nodiscard]] Result<workload::WorkloadRecord> DecodeWorkloadRecord(
    const workload::KeyedValue& item);

}  // namespace clementineloom::codec
