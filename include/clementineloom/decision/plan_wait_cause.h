#pragma once

#include <cstdint>

namespace clementineloom {

/// @brief Why a job does not run at present.
enum class PlanWaitCause : std::uint8_t {
  /// The job is placed, runs, or has ended.
  kNotWaiting,
  kUnknownJob,
  /// It is stopping and gets workers again afterwards.
  kStopping,
  /// No part of the configured capacity can hold its shape.
  kNeverFits,
  /// The parts that could hold it are out of service or have failed.
  kOutOfService,
  /// Its team may not borrow, and no guarantee of the team has room for it.
  kGuaranteeInUse,
  /// Its team's guarantee has room, and borrowers still hold the accelerators.
  kReclaim,
  /// Accelerators that would hold it are free, and are kept for guarantees or older jobs.
  kRoomKept,
  /// Too few accelerators are free near each other.
  kNoRoom,
};

}  // namespace clementineloom
