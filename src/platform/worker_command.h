#pragma once

#include <variant>

#include "platform/checkpoint_command.h"
#include "platform/renew_command.h"
#include "platform/reserve_command.h"
#include "platform/start_command.h"
#include "platform/stop_command.h"

namespace clementineloom::platform {

/// @brief A command of the worker protocol; all are idempotent by their TaskKey.
using WorkerCommand =
    std::variant<ReserveCommand, StartCommand, RenewCommand, CheckpointCommand, StopCommand>;

}  // namespace clementineloom::platform
