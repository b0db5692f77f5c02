#pragma once

#include <cstdint>

namespace clementineloom::workload {

/// @brief How far a run on a worker is, as its owner knows it.
enum class RunStage : std::uint8_t {
  /// Room is held while the start is being recorded.
  kRecording,
  /// The start was ordered; whether it runs is not known yet.
  kStarting,
  kRunning,
  /// A stop was ordered; the room is held until the end is listed.
  kStopping,
};

}  // namespace clementineloom::workload
