#include <map>
#include <vector>

#include "settings/daemon_fields.h"
#include "settings/load_settings.h"
#include "settings/object_check.h"

namespace clementineloom::settings {
namespace {

namespace json = boost::json;

// P3 allows 4 s; the difference covers clock error and a request in transit.
constexpr std::uint32_t kMaxStartAfterFreshViewMs = 3'900;

// The addresses that a daemon listens on or calls must be distinct.
void CheckAddressesDiffer(ObjectCheck& check, const std::map<std::string, std::string>& addresses) {
  std::map<std::string, std::string> keys;
  for (const auto& [key, address] : addresses) {
    // The kernel chooses a different port for each of them.
    if (address.ends_with(":0")) {
      continue;
    }
    const auto [it, is_new] = keys.emplace(address, key);
    if (!is_new) {
      check.Add(ResultCode::kDuplicateId, key, "the address is also that of " + it->second);
    }
  }
}

void CheckTimes(ObjectCheck& check, const GatewaySettings& settings) {
  if (settings.connect_timeout_ms > settings.upstream_timeout_ms) {
    check.Add(ResultCode::kOutOfRange, "connect_timeout_ms",
              "the time to connect is longer than upstream_timeout_ms");
  }
}

void CheckTimes(ObjectCheck& check, const SchedulerSettings& settings) {
  // A lease must span two renewals, so that one lost answer does not end a task.
  if (settings.lease_ms < 2 * settings.renew_interval_ms) {
    check.Add(ResultCode::kOutOfRange, "lease_ms",
              "the lease is shorter than two renew_interval_ms");
  }
  if (settings.max_renew_view_age_ms < settings.common.max_view_age_ms) {
    check.Add(ResultCode::kOutOfRange, "max_renew_view_age_ms",
              "renewals would end before starts do (max_view_age_ms)");
  }
  if (settings.common.max_view_age_ms + settings.reserve_timeout_ms > kMaxStartAfterFreshViewMs) {
    check.Add(ResultCode::kOutOfRange, "reserve_timeout_ms",
              "with max_view_age_ms, a task could start more than " +
                  std::to_string(kMaxStartAfterFreshViewMs) + " ms after the last fresh view");
  }
}

void CheckAddresses(ObjectCheck& check, const GatewaySettings& settings) {
  CheckAddressesDiffer(check, {{"listen", settings.listen},
                               {"admin", settings.common.admin},
                               {"scheduler_rpc", settings.scheduler_rpc},
                               {"instance_list", settings.common.instance_list}});
}

void CheckAddresses(ObjectCheck& check, const SchedulerSettings& settings) {
  CheckAddressesDiffer(check, {{"rpc", settings.rpc},
                               {"admin", settings.common.admin},
                               {"instance_list", settings.common.instance_list}});
}

void CheckAddresses(ObjectCheck& check, const EntrySettings& settings) {
  CheckAddressesDiffer(
      check, {{"listen", settings.listen}, {"ready", settings.ready}, {"store", settings.store}});
}

// Reads a file and checks each value by itself. Only if all are valid, accept(root, check, value)
// assigns them and checks them against each other.
template <class S, class Accept>
Checked<S> CheckFile(const std::string& file, const std::vector<KeySpec>& specs, Accept accept) {
  Checked<Document> document = ReadDocument(file);
  Checked<S> checked;
  checked.problems = std::move(document.problems);
  const json::object& root = document.value.root.get_object();
  if (!checked.problems.empty() && root.empty()) {
    return checked;
  }
  ObjectCheck check(document.value, "", root, checked.problems);
  check.Run(specs);
  if (checked.problems.empty()) {
    accept(root, check, checked.value);
  }
  return checked;
}

template <class S>
Checked<S> Check(const std::string& file, const std::vector<SettingsField<S>>& fields) {
  std::vector<KeySpec> specs = SpecsOf(CommonFields());
  const std::vector<KeySpec> own = SpecsOf(fields);
  specs.insert(specs.end(), own.begin(), own.end());
  return CheckFile<S>(file, specs,
                      [&fields](const json::object& root, ObjectCheck& check, S& value) {
                        AssignFields(CommonFields(), root, value.common);
                        AssignFields(fields, root, value);
                        CheckTimes(check, value);
                        CheckAddresses(check, value);
                      });
}

}  // namespace

Checked<GatewaySettings> CheckGatewaySettings(const std::string& file) {
  return Check(file, GatewayFields());
}

Checked<SchedulerSettings> CheckSchedulerSettings(const std::string& file) {
  return Check(file, SchedulerFields());
}

Checked<EntrySettings> CheckEntrySettings(const std::string& file) {
  return CheckFile<EntrySettings>(
      file, SpecsOf(EntryFields()),
      [](const json::object& root, ObjectCheck& check, EntrySettings& value) {
        AssignFields(EntryFields(), root, value);
        CheckAddresses(check, value);
      });
}

}  // namespace clementineloom::settings
