#include "clementineloom/workload/workload_config.h"

#include <algorithm>

namespace clementineloom::workload {

const Queue* WorkloadConfig::Route(std::string_view host, std::string_view path) const {
  const Queue* best = nullptr;
  for (const Queue& it : queues) {
    if (it.host == host && path.starts_with(it.path_prefix) &&
        (best == nullptr || it.path_prefix.size() > best->path_prefix.size())) {
      best = &it;
    }
  }
  return best;
}

const Queue* WorkloadConfig::FindQueue(std::string_view name) const {
  const auto it = std::find_if(queues.begin(), queues.end(),
                               [name](const Queue& queue) { return queue.name == name; });
  return it == queues.end() ? nullptr : &*it;
}

const TeamAccess* WorkloadConfig::TeamOfKey(std::string_view key) const {
  for (const TeamAccess& it : teams) {
    if (std::find(it.keys.begin(), it.keys.end(), key) != it.keys.end()) {
      return &it;
    }
  }
  return nullptr;
}

const TeamAccess* WorkloadConfig::FindTeam(std::string_view name) const {
  const auto it = std::find_if(teams.begin(), teams.end(),
                               [name](const TeamAccess& team) { return team.name == name; });
  return it == teams.end() ? nullptr : &*it;
}

}  // namespace clementineloom::workload
