#pragma once

#include <string>
#include <string_view>

#include "clementineloom/errors/result.h"
#include "clementineloom/state/record.h"

namespace clementineloom::codec {

/// @brief Schema version of control records that this build writes.
inline constexpr int kRecordSchemaVersion = 1;

/// @brief Writes a record as one line of JSON.
[[nodiscard]] std::string EncodeRecord(const Record& record);

/// @brief Reads a record. Repeats every check of the value types.
/// Errors: kCorruptRecord, kNewerSchema. Thread safety: pure function.
[[nodiscard]] Result<Record> DecodeRecord(std::string_view text);

}  // namespace clementineloom::codec
