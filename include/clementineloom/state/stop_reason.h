#pragma once

#include <cstdint>

namespace clementineloom {

/// @brief Why a placed or running attempt has to stop.
enum class StopReason : std::uint8_t {
  kNone,
  kReclaim,
  kDataCentreOut,
  kWorkerLost,
  kWorkerLeaving,
  kAttemptFailed,
  kStartDeadline,
  kCancelled,
};

}  // namespace clementineloom
