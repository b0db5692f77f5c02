#pragma once

#include <rapidcheck.h>

#include <cstdint>
#include <ostream>

namespace clementineloom::testing_support {

/// @brief Kinds of commands in a random sequence.
enum class CommandKind : std::uint8_t {
  kSubmitSmall,
  kSubmitRackGang,
  kSubmitDataCentreGang,
  kSubmitUrgent,
  kSubmitImpossible,
  kSubmitAgain,
  kCancelOne,
  kCancelMany,
  kDecide,
  kDecideOnOtherReplica,
  kDecideLate,
  kApplyLate,
  kStart,
  kFinish,
  kFinishFailed,
  kFailAttempt,
  kFailWithoutSuspect,
  kAcknowledgeStops,
  kAcknowledgeOneStop,
  kRequestStop,
  kLoseWorker,
  kLeaveWorker,
  kQuarantineWorker,
  kMakeWorkerLive,
  kReturnWorkers,
  kMoveWorker,
  kDataCentreOut,
  kDataCentreIn,
  kSetTeam,
  kDeleteTeam,
  kStaleConfig,
  kRepeatRecord,
  kAdvanceTime,
  kRestartEngine,
  kForgeBorrowed,
  kSettle,
  kRestore,
  kCount,
};

/// @brief One step of a random sequence; the numbers choose among what exists at that point.
struct ClusterCommand {
  CommandKind kind = CommandKind::kDecide;
  std::uint16_t a = 0;
  std::uint16_t b = 0;

  friend auto operator<=>(const ClusterCommand&, const ClusterCommand&) = default;

  /// @brief Prints the command as a C++ initialiser, to be pasted into a test.
  friend std::ostream& operator<<(std::ostream& out, const ClusterCommand& it) {
    return out << "{CommandKind(" << static_cast<int>(it.kind) << "), " << it.a << ", " << it.b
               << "}";
  }
};

}  // namespace clementineloom::testing_support

namespace rc {

template <>
struct Arbitrary<clementineloom::testing_support::ClusterCommand> {
  static Gen<clementineloom::testing_support::ClusterCommand> arbitrary() {
    using clementineloom::testing_support::ClusterCommand;
    using clementineloom::testing_support::CommandKind;
    return gen::build<ClusterCommand>(
        gen::set(&ClusterCommand::kind,
                 gen::map(gen::inRange(0, static_cast<int>(CommandKind::kCount)),
                          [](int it) { return static_cast<CommandKind>(it); })),
        gen::set(&ClusterCommand::a, gen::inRange<std::uint16_t>(0, 64)),
        gen::set(&ClusterCommand::b, gen::inRange<std::uint16_t>(0, 64)));
  }
};

}  // namespace rc
