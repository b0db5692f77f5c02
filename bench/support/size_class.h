#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace clementineloom::bench {

/// @brief Size class of a job: part of a worker, up to two workers, or more.
enum class SizeClass : std::uint8_t { kSmall, kMedium, kLarge };

inline constexpr std::size_t kSizeClasses = 3;

[[nodiscard]] constexpr std::string_view SizeClassName(SizeClass size) {
  switch (size) {
    case SizeClass::kSmall:
      return "small";
    case SizeClass::kMedium:
      return "medium";
    case SizeClass::kLarge:
      break;
  }
  return "large";
}

}  // namespace clementineloom::bench
