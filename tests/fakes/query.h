#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace clementineloom::fakes {

/// @brief The path of a request target, without its query.
[[nodiscard]] std::string_view PathOf(std::string_view target);

/// @brief The text of a key in the query of a target, or nothing. Escapes are left as they are.
[[nodiscard]] std::optional<std::string_view> QueryText(std::string_view target,
                                                        std::string_view key);

/// @brief The unsigned number of a key in the query of a target, or a default without one.
[[nodiscard]] std::uint64_t QueryNumber(std::string_view target, std::string_view key,
                                        std::uint64_t fallback);

}  // namespace clementineloom::fakes
