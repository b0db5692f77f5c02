#pragma once

#include <boost/json/object.hpp>

#include "clementineloom/errors/result.h"
#include "codec/detail/json_reader.h"
#include "platform/renew_command.h"
#include "platform/reserve_command.h"
#include "platform/start_command.h"
#include "platform/task_key.h"
#include "platform/task_report.h"
#include "platform/worker_report.h"

namespace clementineloom::platform::detail {

// JSON of the worker protocol. Errors of the readers: those of JsonReader, kInvalidValue (unknown
// state).

[[nodiscard]] boost::json::object ToJson(const TaskKey& key);
[[nodiscard]] boost::json::object ToJson(const ReserveCommand& command);
[[nodiscard]] boost::json::object ToJson(const StartCommand& command);
[[nodiscard]] boost::json::object ToJson(const RenewCommand& command);
[[nodiscard]] boost::json::object ToJson(const TaskReport& report);
[[nodiscard]] boost::json::object ToJson(const WorkerReport& report);

[[nodiscard]] Result<TaskKey> ReadTaskKey(const codec::detail::JsonReader& json);
[[nodiscard]] Result<ReserveCommand> ReadReserveCommand(const codec::detail::JsonReader& json);
[[nodiscard]] Result<StartCommand> ReadStartCommand(const codec::detail::JsonReader& json);
[[nodiscard]] Result<RenewCommand> ReadRenewCommand(const codec::detail::JsonReader& json);
[[nodiscard]] Result<TaskReport> ReadTaskReport(const codec::detail::JsonReader& json);
[[nodiscard]] Result<WorkerReport> ReadWorkerReport(const codec::detail::JsonReader& json);

}  // namespace clementineloom::platform::detail
