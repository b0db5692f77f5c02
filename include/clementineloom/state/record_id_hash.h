#pragma once

#include <cstdint>
#include <string_view>

namespace clementineloom {

/// @brief The hash of a record's id that snapshots hold: MurmurHash64A with the seed 0xc70f6907.
///
/// Every build has to compute the same value, because a replica that starts from a snapshot of
/// another one compares them. The values are those of std::hash in libstdc++ on 64-bit machines,
/// which earlier snapshots hold. Thread safety: a pure function.
[[nodiscard]] std::uint64_t RecordIdHash(std::string_view id);

}  // namespace clementineloom
