#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <string_view>

namespace clementineloom::soak {

/// @brief A queue of the configuration of a soak. An immutable value.
struct SoakQueue {
  std::string_view name;
  /// Begins and ends with a slash.
  std::string_view path;
  int priority = 0;
  std::int64_t target_latency_ms = 0;
  double stretch = 0;

  friend auto operator<=>(const SoakQueue&, const SoakQueue&) = default;
};

inline constexpr SoakQueue kPlainQueue{"soak", "/soak/", 1, 250, 1.5};
inline constexpr SoakQueue kStandardQueue{"standard", "/standard/", 1, 1'000, 3};
inline constexpr SoakQueue kUrgentQueue{"urgent", "/urgent/", 0, 250, 1.5};
inline constexpr SoakQueue kBatchQueue{"batch", "/batch/", 2, 3'000, 3};
inline constexpr std::array kQueues{kPlainQueue, kStandardQueue, kUrgentQueue, kBatchQueue};

}  // namespace clementineloom::soak
