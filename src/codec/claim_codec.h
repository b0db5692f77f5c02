#pragma once

#include <string>
#include <string_view>

#include "clementineloom/errors/result.h"
#include "clementineloom/routing/claim_record.h"

namespace clementineloom::codec {

/// @brief Schema version of the claims records that this build writes.
inline constexpr int kClaimSchemaVersion = 1;

/// @brief Writes a record of the claims stream as one line of JSON.
/// @param id unique; precondition: of a RequestClaimed, its own id
[[nodiscard]] std::string EncodeClaimRecord(const std::string& id, const ClaimRecord& record);

/// @brief Reads a record of the claims stream. Errors: kCorruptRecord, kNewerSchema.
/// Thread safety: pure function.
[[nodiscard]] Result<ClaimRecord> DecodeClaimRecord(std::string_view text);

}  // namespace clementineloom::codec
