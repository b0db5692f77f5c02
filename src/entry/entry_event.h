#pragma once

#include <chrono>
#include <variant>

#include "net/client_result.h"
#include "net/server_request.h"

namespace clementineloom::entry {

/// @brief Requests the process to stop.
struct StopRequested {
  /// Time within which all requests that wait have to be answered.
  std::chrono::milliseconds answer_within{0};
};

/// @brief An event for the decision duty.
using EntryEvent = std::variant<net::ServerRequest, net::ClientResult, StopRequested>;

}  // namespace clementineloom::entry
