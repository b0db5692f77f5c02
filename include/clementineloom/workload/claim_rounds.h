#pragma once

#include <compare>
#include <cstddef>

#include "clementineloom/workload/steady_time.h"

namespace clementineloom::workload {

/// @brief When the candidates for an ownership claim it, by their rank. An immutable value.
///
/// The number of candidates doubles with each round: in the first one candidate claims, then two
/// more, then four. If a claim is read by all within a round, there are at most two claims more
/// than dead candidates before the first live one, whatever the number of instances; and the delay
/// until that one grows with the logarithm of their number. Thread safety: may be used from any
/// thread.
class ClaimRounds {
 public:
  /// Round of a system with few instances.
  static constexpr Milliseconds kMinRound{100};
  /// Round of a system with many instances: twice the usual 400 ms until a claim is read.
  static constexpr Milliseconds kMaxRound{800};
  /// Growth of the round with each instance, since the pause between reads grows too.
  static constexpr Milliseconds kRoundPerInstance{11};

  /// Precondition: the length is positive.
  explicit ClaimRounds(Milliseconds length) : length_(length) {}

  /// @brief The rounds in a system with this number of instances, dead ones included.
  [[nodiscard]] static ClaimRounds ForInstances(std::size_t instances);

  /// @brief Time from the start of the first round to the claim of the candidate with this rank,
  /// 0 being the first. Candidates of the same round are spread over it.
  [[nodiscard]] Milliseconds DelayOf(std::size_t rank) const;

  [[nodiscard]] Milliseconds length() const { return length_; }

  friend auto operator<=>(const ClaimRounds&, const ClaimRounds&) = default;

 private:
  Milliseconds length_;
};

}  // namespace clementineloom::workload
