#include "settings/load_settings.h"

#include <utility>

namespace clementineloom::settings {
namespace {

template <class T>
Result<T> ValueOrRefusal(Checked<T> checked) {
  if (checked.problems.empty()) {
    return std::move(checked.value);
  }
  std::string detail;
  for (const Problem& it : checked.problems) {
    detail += (detail.empty() ? "" : "\n") + ToText(it);
  }
  return Refuse(checked.problems.front().code, std::move(detail));
}

}  // namespace

Result<GatewaySettings> LoadGatewaySettings(const std::string& file) {
  return ValueOrRefusal(CheckGatewaySettings(file));
}

Result<SchedulerSettings> LoadSchedulerSettings(const std::string& file) {
  return ValueOrRefusal(CheckSchedulerSettings(file));
}

Result<EntrySettings> LoadEntrySettings(const std::string& file) {
  return ValueOrRefusal(CheckEntrySettings(file));
}

Result<ClusterDocument> LoadClusterDocument(const std::string& file) {
  return ValueOrRefusal(CheckClusterDocument(file));
}

}  // namespace clementineloom::settings
