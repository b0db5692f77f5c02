#pragma once

#include <string_view>

namespace clementineloom {

/// @brief Whether a method may be repeated without a second effect (RFC 9110, section 9.2.2).
[[nodiscard]] constexpr bool IsIdempotentMethod(std::string_view method) {
  return method == "GET" || method == "HEAD" || method == "OPTIONS" || method == "PUT" ||
         method == "DELETE";
}

}  // namespace clementineloom
