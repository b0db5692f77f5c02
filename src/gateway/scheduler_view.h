#pragma once

#include <chrono>
#include <compare>

#include "clementineloom/errors/result.h"
#include "clementineloom/model/log_offset.h"
#include "rpc/rpc_client.h"

namespace clementineloom::gateway {

/// @brief What the scheduler knows of the tail of the control stream. An immutable value.
struct SchedulerView {
  LogOffset tail;
  /// Time since that was certainly the tail.
  std::chrono::milliseconds age{0};

  friend auto operator<=>(const SchedulerView&, const SchedulerView&) = default;
};

/// @brief Asks a scheduler. Errors: those of RpcClient::Call, kViewStale (it was never at the
/// tail), and those of JsonReader.
[[nodiscard]] Result<SchedulerView> AskSchedulerView(rpc::RpcClient& scheduler,
                                                     std::chrono::milliseconds timeout);

}  // namespace clementineloom::gateway
