#include "platform/detail/task_json.h"

#include <boost/json/array.hpp>
#include <cstdint>
#include <utility>

#include "platform/detail/platform_enum_names.h"

namespace clementineloom::platform::detail {
namespace {

namespace json = boost::json;
using codec::detail::JsonReader;

Result<Duration> ReadDuration(const JsonReader& json, std::string_view key) {
  BOOST_LEAF_AUTO(value, json.Number<std::uint32_t>(key));
  return Duration(value);
}

}  // namespace

json::object ToJson(const TaskKey& key) {
  return {{"job", key.job.value()}, {"attempt", key.attempt}, {"token", key.token.value()}};
}

json::object ToJson(const ReserveCommand& command) {
  json::object object = ToJson(command.key);
  object.emplace("accelerators", command.accelerators);
  object.emplace("ttl_ms", command.ttl.count());
  return object;
}

json::object ToJson(const StartCommand& command) {
  json::object object = ToJson(command.key);
  object.emplace("command", command.command);
  object.emplace("lease_ms", command.lease.count());
  return object;
}

json::object ToJson(const RenewCommand& command) {
  json::object object = ToJson(command.key);
  object.emplace("lease_ms", command.lease.count());
  return object;
}

json::object ToJson(const TaskReport& report) {
  json::object object = ToJson(report.key);
  object.emplace("accelerators", report.accelerators);
  object.emplace("state", codec::detail::NameOf(report.state));
  object.emplace("run_time_ms", report.run_time.count());
  object.emplace("checkpointed", report.is_checkpointed);
  return object;
}

json::object ToJson(const WorkerReport& report) {
  json::array tasks;
  for (const TaskReport& it : report.tasks) {
    tasks.push_back(ToJson(it));
  }
  return {{"worker", report.worker},
          {"accelerators", report.accelerators},
          {"tasks", std::move(tasks)}};
}

Result<TaskKey> ReadTaskKey(const JsonReader& json) {
  BOOST_LEAF_AUTO(job, json.Number<std::uint64_t>("job"));
  BOOST_LEAF_AUTO(attempt, json.Number<std::uint32_t>("attempt"));
  BOOST_LEAF_AUTO(token, json.Number<std::uint64_t>("token"));
  return TaskKey{JobId(job), attempt, FencingToken(token)};
}

Result<ReserveCommand> ReadReserveCommand(const JsonReader& json) {
  BOOST_LEAF_AUTO(key, ReadTaskKey(json));
  BOOST_LEAF_AUTO(accelerators, json.Number<std::uint16_t>("accelerators"));
  BOOST_LEAF_AUTO(ttl, ReadDuration(json, "ttl_ms"));
  return ReserveCommand{key, accelerators, ttl};
}

Result<StartCommand> ReadStartCommand(const JsonReader& json) {
  BOOST_LEAF_AUTO(key, ReadTaskKey(json));
  BOOST_LEAF_AUTO(command, json.String("command"));
  BOOST_LEAF_AUTO(lease, ReadDuration(json, "lease_ms"));
  return StartCommand{key, std::move(command), lease};
}

Result<RenewCommand> ReadRenewCommand(const JsonReader& json) {
  BOOST_LEAF_AUTO(key, ReadTaskKey(json));
  BOOST_LEAF_AUTO(lease, ReadDuration(json, "lease_ms"));
  return RenewCommand{key, lease};
}

Result<TaskReport> ReadTaskReport(const JsonReader& json) {
  TaskReport report;
  BOOST_LEAF_ASSIGN(report.key, ReadTaskKey(json));
  BOOST_LEAF_ASSIGN(report.accelerators, json.Number<std::uint16_t>("accelerators"));
  BOOST_LEAF_AUTO(state, json.String("state"));
  BOOST_LEAF_ASSIGN(report.state, codec::detail::ParseEnum<TaskState>(state));
  BOOST_LEAF_AUTO(run_time, json.Signed("run_time_ms"));
  report.run_time = Duration(run_time);
  BOOST_LEAF_ASSIGN(report.is_checkpointed, json.Bool("checkpointed"));
  return report;
}

Result<WorkerReport> ReadWorkerReport(const JsonReader& json) {
  WorkerReport report;
  BOOST_LEAF_ASSIGN(report.worker, json.String("worker"));
  BOOST_LEAF_ASSIGN(report.accelerators, json.Number<std::uint16_t>("accelerators"));
  BOOST_LEAF_AUTO(tasks, json.Array("tasks"));
  for (const json::value& it : *tasks) {
    BOOST_LEAF_AUTO(reader, JsonReader::Of(it));
    BOOST_LEAF_AUTO(task, ReadTaskReport(reader));
    report.tasks.push_back(task);
  }
  return report;
}

}  // namespace clementineloom::platform::detail
