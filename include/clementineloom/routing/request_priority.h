#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace clementineloom {

/// @brief The importance that a caller gives a request among those of its own team.
enum class RequestPriority : std::uint8_t { kLow, kNormal, kHigh };

/// @brief Reads the value of X-Priority; an empty one is kNormal. @return nothing if unknown
[[nodiscard]] constexpr std::optional<RequestPriority> ParseRequestPriority(std::string_view text) {
  if (text.empty() || text == "normal") {
    return RequestPriority::kNormal;
  }
  if (text == "high") {
    return RequestPriority::kHigh;
  }
  return text == "low" ? std::optional(RequestPriority::kLow) : std::nullopt;
}

}  // namespace clementineloom
