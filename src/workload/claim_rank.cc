#include "clementineloom/workload/claim_rank.h"

#include <algorithm>
#include <tuple>

#include "clementineloom/membership/rendezvous_weight.h"

namespace clementineloom::workload {
namespace {

// Number of the other candidates that have the largest size, if it is above that of the instance.
std::size_t LargestBefore(const std::map<std::string, std::int64_t>& sizes,
                          const std::string& instance, std::int64_t cpu_millicores,
                          const std::optional<OwnerRecord>& last_owner) {
  std::int64_t largest_size = cpu_millicores;
  std::size_t count = 0;
  for (const auto& [name, size] : sizes) {
    const bool is_last_owner = last_owner && last_owner->instance == name;
    if (name == instance || is_last_owner || size <= cpu_millicores || size < largest_size) {
      continue;
    }
    count = size > largest_size ? 1 : count + 1;
    largest_size = size;
  }
  return count;
}

}  // namespace

ClaimRank ClaimRank::Of(const std::map<std::string, std::int64_t>& sizes,
                        const std::string& instance, std::int64_t cpu_millicores,
                        const std::optional<OwnerRecord>& last_owner) {
  const std::uint64_t epoch = last_owner ? last_owner->epoch : 0;
  const auto order_of = [&](const std::string& name, std::int64_t size) {
    const bool is_last_owner = last_owner && last_owner->instance == name;
    return std::tuple(is_last_owner, -size, RendezvousWeight(name, epoch));
  };
  const auto own = order_of(instance, cpu_millicores);
  const auto comes_before = [&](const auto& it) {
    return it.first != instance && order_of(it.first, it.second) < own;
  };
  ClaimRank place;
  place.rank = static_cast<std::size_t>(std::ranges::count_if(sizes, comes_before));
  if (cpu_millicores > 0) {
    place.largest = LargestBefore(sizes, instance, cpu_millicores, last_owner);
  }
  return place;
}

}  // namespace clementineloom::workload
