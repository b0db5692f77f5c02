#pragma once

#include <cstdint>

namespace clementineloom::net {

/// @brief How a request that a server has read ended.
enum class RequestOutcome : std::uint8_t {
  /// The kernel has taken the whole answer of the sink.
  kAnswered,
  /// The kernel has taken the whole refusal that the server itself made.
  kRefused,
  /// The connection was lost before the whole answer was written.
  kUnwritten,
  /// The request lay behind another one on a connection that the server closed.
  kDiscarded,
  /// The server ended before there was an answer.
  kCutOff,
};

}  // namespace clementineloom::net
