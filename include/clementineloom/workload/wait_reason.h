#pragma once

#include <cstdint>

namespace clementineloom::workload {

/// @brief What keeps a step whose turn has come from starting.
enum class WaitReason : std::uint8_t {
  /// Runs of its own tasks hold room; their outcome is not known yet, or they are being stopped.
  kHeldRuns,
  /// The quota of its team admits no more: not a task of it, or not all of a gang.
  kQuota,
  /// Workers that take runs have too little room.
  kRoom,
  /// The workers with room are not approved by the advice service, or not yet.
  kAdvice,
  /// The workers with room are kept for urgent work that is about to arrive.
  kReserve,
  /// It waits for room on the rack that holds its data.
  kDataRack,
  /// It waits for room for all its tasks on one rack.
  kOneRack,
  /// The room is claimed for urgent tasks.
  kClaims,
  /// Nothing: the next plan starts it.
  kNextPlan,
};

}  // namespace clementineloom::workload
