#pragma once

#include <cstdint>
#include <string_view>

namespace clementineloom::workload {

/// @brief Why a run ended.
enum class EndReason : std::uint8_t {
  kDone,
  /// Through its own fault or that of its worker; counts as an attempt.
  kFailed,
  /// Stopped by an order of the owner.
  kStopped,
  /// Its lease expired or its worker is gone.
  kLapsed,
  /// Another member of its gang ended.
  kGangBroken,
  /// The other members of its gang did not join in time.
  kGangIncomplete,
};

/// @brief Name of a reason in metrics.
[[nodiscard]] constexpr std::string_view EndReasonName(EndReason reason) {
  switch (reason) {
    case EndReason::kDone:
      return "done";
    case EndReason::kFailed:
      return "failed";
    case EndReason::kStopped:
      return "stopped";
    case EndReason::kLapsed:
      return "lapsed";
    case EndReason::kGangBroken:
      return "gang_broken";
    case EndReason::kGangIncomplete:
      return "gang_incomplete";
  }
  return "";
}

}  // namespace clementineloom::workload
