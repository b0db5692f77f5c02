#pragma once

#include <chrono>
#include <compare>

#include "clementineloom/errors/result.h"
#include "clementineloom/model/log_offset.h"
#include "rpc/rpc_client.h"

namespace clementineloom::gateway {

/// @brief Tail of the control stream as known to the scheduler. An immutable value.
struct SchedulerView {
  LogOffset tail;
  /// Time since tail was last known to be the tail.
  std::chrono::milliseconds age{0};

  friend auto operator<=>(const SchedulerView&, const SchedulerView&) = default;
};

/// @brief Fetches the view of a scheduler. Errors: those of RpcClient::Call, kViewStale (the
/// scheduler has never reached the tail), and those of JsonReader.
[[nodiscard]] Result<SchedulerView> FetchSchedulerView(rpc::RpcClient& scheduler,
                                                       std::chrono::milliseconds timeout);

}  // namespace clementineloom::gateway
