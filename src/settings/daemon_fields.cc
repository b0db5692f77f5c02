#include "settings/daemon_fields.h"

namespace clementineloom::settings {
namespace {

constexpr std::uint64_t kMinuteMs = 60'000;
constexpr std::uint64_t kHourMs = 60 * kMinuteMs;

KeySpec Required(std::string_view key, ValueKind kind, std::string_view meaning) {
  return {.key = key, .kind = kind, .meaning = meaning};
}

KeySpec Optional(std::string_view key, ValueKind kind, std::string_view meaning) {
  return {.key = key, .kind = kind, .is_required = false, .meaning = meaning};
}

KeySpec Number(std::string_view key, std::string_view unit, std::uint64_t min, std::uint64_t max,
               std::string_view meaning) {
  return {.key = key,
          .kind = ValueKind::kNumber,
          .unit = unit,
          .min = min,
          .max = max,
          .is_required = false,
          .meaning = meaning};
}

KeySpec Decimal(std::string_view key, std::string_view unit, std::uint64_t min, std::uint64_t max,
                std::string_view meaning) {
  KeySpec spec = Number(key, unit, min, max, meaning);
  spec.kind = ValueKind::kDecimal;
  return spec;
}

}  // namespace

const std::vector<SettingsField<CommonSettings>>& CommonFields() {
  using S = CommonSettings;
  static const std::vector<SettingsField<S>> fields{
      {Required("instance", ValueKind::kName, "name of this entry instance"), &S::instance},
      {Required("region", ValueKind::kName, "region that it runs in"), &S::region},
      {Required("data_centre", ValueKind::kName, "data centre that it runs in"), &S::data_centre},
      {Required("admin", ValueKind::kListenAddress, "address of `/health` and `/metrics`"),
       &S::admin},
      {Required("log_service", ValueKind::kAddressList,
                "front ends of the platform's log, tried in order"),
       &S::log_service},
      {Required("instance_list", ValueKind::kAddress, "the platform's instance list"),
       &S::instance_list},
      {Optional("log_level", ValueKind::kLogLevel, "lowest severity that is logged"),
       &S::log_level},
      {Optional("log_file", ValueKind::kText, "log file; empty for standard error"), &S::log_file},
      {Number("drain_timeout_ms", "ms", 0, kHourMs,
              "time for requests in progress to finish on SIGTERM"),
       &S::drain_timeout_ms},
      {Number("max_view_age_ms", "ms", 100, 10'000,
              "age of the view of the log above which nothing new is started"),
       &S::max_view_age_ms},
      {Number("instance_list_interval_ms", "ms", 50, kMinuteMs,
              "time between two reads of the instance list"),
       &S::instance_list_interval_ms}};
  return fields;
}

const std::vector<SettingsField<GatewaySettings>>& GatewayFields() {
  using S = GatewaySettings;
  static const std::vector<SettingsField<S>> fields{
      {Required("listen", ValueKind::kListenAddress, "address for callers"), &S::listen},
      {Required("scheduler_rpc", ValueKind::kAddress, "RPC of the scheduler on the same instance"),
       &S::scheduler_rpc},
      {Number("max_connections", "", 1, 65'536, "connections of callers"), &S::max_connections},
      {Number("max_header_bytes", "bytes", 1'024, 1'048'576, "header of a request"),
       &S::max_header_bytes},
      {Number("max_body_bytes", "bytes", 1'024, 1'073'741'824, "body of a request"),
       &S::max_body_bytes},
      {Number("caller_timeout_ms", "ms", 100, kHourMs,
              "time for a caller to send a request once it began"),
       &S::caller_timeout_ms},
      {Number("upstream_timeout_ms", "ms", 100, kHourMs, "time for a worker to answer a request"),
       &S::upstream_timeout_ms},
      {Number("connect_timeout_ms", "ms", 10, kMinuteMs, "time to connect to a worker"),
       &S::connect_timeout_ms},
      {Number("idle_connection_ms", "ms", 100, kHourMs,
              "time after which an idle connection to a worker is closed"),
       &S::idle_connection_ms},
      {Number("max_attempts", "", 1, 10, "attempts of an idempotent request"), &S::max_attempts},
      {Number("retry_budget_percent", "percent", 0, 100, "retries in relation to requests"),
       &S::retry_budget_percent},
      {Number("ring_capacity", "", 16, 1'048'576, "entries of each ring between two duties"),
       &S::ring_capacity},
      {Number("claim_batch_ms", "ms", 0, 1'000, "time that claims are collected for one append"),
       &S::claim_batch_ms}};
  return fields;
}

const std::vector<SettingsField<SchedulerSettings>>& SchedulerFields() {
  using S = SchedulerSettings;
  static const std::vector<SettingsField<S>> fields{
      {Required("rpc", ValueKind::kListenAddress, "address for operators and peers"), &S::rpc},
      {Number("lease_ms", "ms", 1'000, kHourMs, "lease of a running task"), &S::lease_ms},
      {Number("renew_interval_ms", "ms", 100, kHourMs, "time between two renewals of a lease"),
       &S::renew_interval_ms},
      {Number("max_renew_view_age_ms", "ms", 1'000, 24 * kHourMs,
              "age of the view up to which leases are still renewed"),
       &S::max_renew_view_age_ms},
      {Number("reserve_timeout_ms", "ms", 100, 10'000, "time until a reservation lapses"),
       &S::reserve_timeout_ms},
      {Number("rank_delay_ms", "ms", 10, 10'000,
              "a scheduler of rank r waits r times as long before it proposes"),
       &S::rank_delay_ms},
      {Number("ring_capacity", "", 16, 1'048'576, "entries of each ring between two duties"),
       &S::ring_capacity},
      {Number("snapshot_interval_records", "records", 100, 10'000'000,
              "records between two snapshots on the control stream"),
       &S::snapshot_interval_records}};
  return fields;
}

const std::vector<SettingsField<EntrySettings>>& EntryFields() {
  using S = EntrySettings;
  static const std::vector<SettingsField<S>> fields{
      {Required("instance", ValueKind::kName, "name of this entry instance"), &S::instance},
      {Required("region", ValueKind::kName, "region that it runs in"), &S::region},
      {Required("data_centre", ValueKind::kName, "data centre that it runs in"), &S::data_centre},
      {Required("listen", ValueKind::kListenAddress, "address for callers"), &S::listen},
      {Required("ready", ValueKind::kListenAddress, "address of the readiness check"), &S::ready},
      {Required("store", ValueKind::kAddress, "the platform's store"), &S::store},
      {Optional("metrics", ValueKind::kListenAddress, "address of `/metrics`; empty for none"),
       &S::metrics},
      {Optional("advice", ValueKind::kText, "the advice service; empty where there is none"),
       &S::advice},
      {Optional("log_level", ValueKind::kLogLevel, "lowest severity that is logged"),
       &S::log_level},
      {Decimal("processor_share", "cores", 0, 1'024,
               "processors that it may use; larger instances own the workers first; 0 for unknown"),
       &S::processor_share},
      {Number("drain_timeout_ms", "ms", 0, kHourMs,
              "time for requests in progress to finish on SIGTERM"),
       &S::drain_timeout_ms},
      {Number("max_lease_ms", "ms", 2'000, kHourMs, "longest lease that workers grant"),
       &S::max_lease_ms},
      {Number("stop_timeout_ms", "ms", 1, kMinuteMs, "longest time that a worker takes to stop"),
       &S::stop_timeout_ms},
      {Number("gang_timeout_ms", "ms", 100, kMinuteMs,
              "time that the members of a gang wait for each other"),
       &S::gang_timeout_ms},
      {Number("state_retention_s", "s", 1, 24 * kHourMs / 1'000,
              "time for which the state of an ended job is kept"),
       &S::state_retention_s}};
  return fields;
}

}  // namespace clementineloom::settings
