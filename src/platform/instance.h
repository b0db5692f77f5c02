#pragma once

#include <compare>
#include <cstdint>
#include <string>

#include "platform/instance_role.h"
#include "platform/instance_state.h"

namespace clementineloom::platform {

/// @brief One entry of the instance list. An immutable value.
struct Instance {
  std::string name;
  InstanceRole role = InstanceRole::kWorker;
  InstanceState state = InstanceState::kLive;
  /// IP:PORT; of a worker for tasks and requests, of an entry instance for callers.
  std::string address;
  /// IP:PORT of the scheduler's RPC; empty for a worker.
  std::string rpc;
  std::string data_centre;
  /// The following are empty or 0 for an entry instance.
  std::string rack;
  std::uint16_t accelerators = 0;
  std::uint16_t slots = 0;
  std::uint16_t connections = 0;

  friend auto operator<=>(const Instance&, const Instance&) = default;
};

}  // namespace clementineloom::platform
