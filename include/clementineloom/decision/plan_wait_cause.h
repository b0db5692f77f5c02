#pragma once

#include <cstdint>

namespace clementineloom {

/// @brief Why a job does not run at present.
enum class PlanWaitCause : std::uint8_t {
  /// The job is placed, runs, or has ended.
  kNotWaiting,
  kUnknownJob,
  /// The job is stopping and may be placed again afterwards.
  kStopping,
  /// Its shape fits no part of the configured capacity.
  kNeverFits,
  /// The capacity that its shape fits is out of service or has failed.
  kOutOfService,
  /// Its team may not borrow, and no guarantee of the team has free capacity for it.
  kGuaranteeInUse,
  /// Its team's guarantee has free capacity, but borrowers still hold the accelerators.
  kReclaim,
  /// Enough accelerators are free, but they are kept for guarantees or for jobs before it.
  kRoomKept,
  /// Too few accelerators are free within one domain of its adjacency.
  kNoRoom,
};

}  // namespace clementineloom
