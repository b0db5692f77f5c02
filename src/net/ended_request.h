#pragma once

#include <chrono>
#include <compare>
#include <string>

#include "net/request_outcome.h"

namespace clementineloom::net {

/// @brief A request of a server and how it ended. An immutable value.
struct EndedRequest {
  /// Empty if the request was not parsed.
  std::string method;
  /// Empty if the request was not parsed.
  std::string target;
  RequestOutcome outcome = RequestOutcome::kCutOff;
  /// From the end of the request's receipt to the outcome.
  std::chrono::milliseconds duration{0};

  friend auto operator<=>(const EndedRequest&, const EndedRequest&) = default;
};

}  // namespace clementineloom::net
