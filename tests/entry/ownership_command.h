#pragma once

#include <rapidcheck.h>

#include <compare>
#include <cstdint>
#include <ostream>

#include "entry/ownership_command_kind.h"

namespace clementineloom::entry {

/// @brief One step of a random sequence; the numbers choose its subject and its size. An immutable
/// value.
struct OwnershipCommand {
  /// The numbers lie below this.
  static constexpr std::uint16_t kNumbers = 64;

  OwnershipCommandKind kind = OwnershipCommandKind::kWait;
  std::uint16_t a = 0;
  std::uint16_t b = 0;

  friend auto operator<=>(const OwnershipCommand&, const OwnershipCommand&) = default;

  /// @brief Prints the command as a C++ initialiser, to be pasted into a test.
  friend std::ostream& operator<<(std::ostream& out, const OwnershipCommand& it) {
    return out << "{OwnershipCommandKind(" << static_cast<int>(it.kind) << "), " << it.a << ", "
               << it.b << "}";
  }
};

}  // namespace clementineloom::entry

namespace rc {

template <>
struct Arbitrary<clementineloom::entry::OwnershipCommand> {
  static Gen<clementineloom::entry::OwnershipCommand> arbitrary() {
    using clementineloom::entry::OwnershipCommand;
    using Kind = clementineloom::entry::OwnershipCommandKind;
    const auto number =
        gen::resize(kNominalSize, gen::inRange<std::uint16_t>(0, OwnershipCommand::kNumbers));
    return gen::build<OwnershipCommand>(
        gen::set(&OwnershipCommand::kind, gen::weightedElement<Kind>({{12, Kind::kSubmit},
                                                                      {2, Kind::kSubmitAgain},
                                                                      {2, Kind::kCancel},
                                                                      {3, Kind::kKill},
                                                                      {1, Kind::kStop},
                                                                      {3, Kind::kRestart},
                                                                      {2, Kind::kFreeze},
                                                                      {2, Kind::kThaw},
                                                                      {2, Kind::kCutFromStore},
                                                                      {3, Kind::kCutFromWorker},
                                                                      {1, Kind::kLoseStoreAnswers},
                                                                      {2, Kind::kLoseWorkerAnswers},
                                                                      {3, Kind::kHeal},
                                                                      {3, Kind::kRestartWorker},
                                                                      {1, Kind::kUnregisterWorker},
                                                                      {2, Kind::kRegisterWorker},
                                                                      {1, Kind::kLoseAppendAnswers},
                                                                      {2, Kind::kHoldAppends},
                                                                      {1, Kind::kApplyHeldAppends},
                                                                      {1, Kind::kRefuseAppends},
                                                                      {1, Kind::kTakeAppends},
                                                                      {1, Kind::kCompact},
                                                                      {3, Kind::kDelayRequest},
                                                                      {2, Kind::kRepeatRequest},
                                                                      {2, Kind::kDelayAnswer},
                                                                      {5, Kind::kWaitShort},
                                                                      {8, Kind::kWait},
                                                                      {6, Kind::kWaitLong}})),
        gen::set(&OwnershipCommand::a, number), gen::set(&OwnershipCommand::b, number));
  }
};

}  // namespace rc
