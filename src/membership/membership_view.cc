#include "clementineloom/membership/membership_view.h"

#include <algorithm>

#include "clementineloom/membership/rendezvous_weight.h"

namespace clementineloom {

std::size_t MembershipView::RankOf(std::string_view instance, std::uint64_t subject) const {
  const std::pair own(RendezvousWeight(instance, subject), instance);
  const auto is_preferred = [&](const SchedulerPeer& it) {
    return std::pair(RendezvousWeight(it.instance, subject), std::string_view{it.instance}) > own;
  };
  return static_cast<std::size_t>(std::ranges::count_if(schedulers_, is_preferred));
}

}  // namespace clementineloom
