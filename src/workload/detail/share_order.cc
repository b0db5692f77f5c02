#include "clementineloom/workload/detail/share_order.h"

#include <map>
#include <optional>

namespace clementineloom::workload::detail {

ShareOrder::ShareOrder(std::span<StartCandidate> steps, const TeamUsageTable& usage)
    : usage_(usage) {
  std::map<TeamUsageTable::Team, std::size_t> positions;
  for (StartCandidate& it : steps) {
    // Without weights all steps are in one queue.
    const auto team = usage.has_weights() ? usage.TeamOf(*it.job) : std::nullopt;
    const auto [position, is_new] =
        positions.emplace(team.value_or(TeamQueue::kNoTeam), queues_.size());
    if (is_new) {
      queues_.push_back({position->first, {}, 0});
    }
    queues_[position->second].steps.push_back(&it);
  }
}

StartCandidate* ShareOrder::Next() {
  TeamQueue* best = nullptr;
  double best_share = 0;
  for (TeamQueue& it : queues_) {
    if (it.next == it.steps.size()) {
      continue;
    }
    const double share = it.team == TeamQueue::kNoTeam ? 0 : usage_.WeightedShareOf(it.team);
    if (best == nullptr || share < best_share) {
      best = &it;
      best_share = share;
    }
  }
  return best == nullptr ? nullptr : best->steps[best->next++];
}

}  // namespace clementineloom::workload::detail
