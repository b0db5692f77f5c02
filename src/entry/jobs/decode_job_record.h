#pragma once

#include <optional>

#include "clementineloom/workload/keyed_value.h"
#include "clementineloom/workload/workload_record.h"

namespace clementineloom::entry {

/// @brief Decodes a record of the jobs topic.
/// Thread safety: may be called from any thread.
/// @return nothing for a record that cannot be decoded, which is logged
[[nodiscard]] std::optional<workload::WorkloadRecord> DecodeJobRecord(
    const workload::KeyedValue& item);

}  // namespace clementineloom::entry
