#pragma once

#include <compare>
#include <cstdint>

#include "clementineloom/errors/result.h"
#include "codec/detail/json_reader.h"

namespace clementineloom::fakes {

/// @brief Faults that every stand-in has; set by POST /v1/faults, which faults never concern.
struct ConnectionFaults {
  /// Every request is answered with 503 and has no effect.
  bool refuse = false;
  /// Requests wait, without effect, until the fault is taken back.
  bool freeze = false;
  /// Time between the effect of a request and its answer.
  std::uint32_t delay_ms = 0;
  /// Requests other than GET that take effect and whose connection is then closed.
  std::uint32_t lose_answer = 0;

  friend auto operator<=>(const ConnectionFaults&, const ConnectionFaults&) = default;
};

/// @brief The faults with those changed that the object names. Errors: those of JsonReader.
[[nodiscard]] Result<ConnectionFaults> WithChanges(ConnectionFaults faults,
                                                   const codec::detail::JsonReader& json);

}  // namespace clementineloom::fakes
