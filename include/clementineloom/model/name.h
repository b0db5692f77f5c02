#pragma once

#include <cstddef>
#include <string_view>

namespace clementineloom {

/// @brief Longest name of a team, worker, rack, data centre, region or job class, in bytes.
inline constexpr std::size_t kMaxNameLength = 64;

/// @brief Whether a name is 1 to kMaxNameLength bytes of a-z, A-Z, 0-9, '.', '_' and '-'.
[[nodiscard]] bool IsValidName(std::string_view name);

}  // namespace clementineloom
