#include "clementineloom/membership/membership_view.h"

#include <algorithm>

namespace clementineloom {
namespace {

// FNV-1a with the finalizer of splitmix64. All builds must compute the same weights, which
// std::hash does not guarantee.
std::uint64_t Weight(std::string_view instance, std::uint64_t subject) {
  std::uint64_t hash = 0xcbf29ce484222325;
  for (const char it : instance) {
    hash = (hash ^ static_cast<unsigned char>(it)) * 0x100000001b3;
  }
  hash += (subject + 1) * 0x9e3779b97f4a7c15;
  hash = (hash ^ (hash >> 30)) * 0xbf58476d1ce4e5b9;
  hash = (hash ^ (hash >> 27)) * 0x94d049bb133111eb;
  return hash ^ (hash >> 31);
}

}  // namespace

std::size_t MembershipView::RankOf(std::string_view instance, std::uint64_t subject) const {
  const std::pair own(Weight(instance, subject), instance);
  const auto is_preferred = [&](const SchedulerPeer& it) {
    return std::pair(Weight(it.instance, subject), std::string_view{it.instance}) > own;
  };
  return static_cast<std::size_t>(std::ranges::count_if(schedulers_, is_preferred));
}

}  // namespace clementineloom
