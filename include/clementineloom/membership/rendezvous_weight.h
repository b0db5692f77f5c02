#pragma once

#include <cstdint>
#include <string_view>

namespace clementineloom {

/// @brief The weight of an instance for a subject, for rendezvous hashing. All builds compute the
/// same weights, which std::hash does not guarantee.
/// Thread safety: a pure function.
[[nodiscard]] std::uint64_t RendezvousWeight(std::string_view instance, std::uint64_t subject);

}  // namespace clementineloom
