#include "gateway/listed_workers_of.h"

#include <cstdint>
#include <utility>
#include <vector>

namespace clementineloom::gateway {

ListedWorkers ListedWorkersOf(const platform::InstanceList& list) {
  std::vector<ListedWorker> live;
  std::uint32_t entry_instances = 0;
  for (const platform::Instance& it : list.instances) {
    if (it.role == platform::InstanceRole::kEntry) {
      ++entry_instances;
    } else if (it.state == platform::InstanceState::kLive) {
      live.push_back({it.name, it.address});
    }
  }
  return ListedWorkers(list.version, std::move(live), entry_instances);
}

}  // namespace clementineloom::gateway
