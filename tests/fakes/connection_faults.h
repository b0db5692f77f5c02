#pragma once

#include <compare>
#include <cstdint>

#include "clementineloom/errors/result.h"
#include "codec/detail/json_reader.h"

namespace clementineloom::fakes {

/// @brief Faults that every stand-in supports. POST /v1/faults sets them and is itself never
/// affected.
struct ConnectionFaults {
  /// Every request is answered with 503 and has no effect.
  bool refuse = false;
  /// Requests wait, without effect, until the fault is cleared.
  bool freeze = false;
  /// Time between the effect of a request and its answer.
  std::uint32_t delay_ms = 0;
  /// Number of requests other than GET that take effect but whose connection is closed unanswered.
  std::uint32_t lose_answer = 0;

  friend auto operator<=>(const ConnectionFaults&, const ConnectionFaults&) = default;
};

/// @brief Returns the faults, updated with the members of the object. Errors: those of JsonReader.
[[nodiscard]] Result<ConnectionFaults> WithChanges(ConnectionFaults faults,
                                                   const codec::detail::JsonReader& json);

}  // namespace clementineloom::fakes
