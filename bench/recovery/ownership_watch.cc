#include "recovery/ownership_watch.h"

#include <algorithm>
#include <variant>

#include "codec/workload_record_codec.h"
#include "platform/platform_adapter.h"

namespace clementineloom::bench {
namespace {

std::uint64_t EpochOf(const workload::KeyedValue& item) {
  return CatchRefusal(
      [&]() -> Result<std::uint64_t> {
        BOOST_LEAF_AUTO(record, codec::DecodeWorkloadRecord(item));
        const auto* set = std::get_if<workload::OwnerSet>(&record);
        return set == nullptr ? 0 : set->owner.epoch;
      },
      [](const Refusal&) { return std::uint64_t{0}; });
}

}  // namespace

OwnershipWatch::OwnershipWatch(standin::StandInCluster& cluster, std::size_t instances,
                               std::size_t owner)
    : cluster_(cluster),
      instances_(instances),
      former_owner_(owner),
      former_epoch_(HighestNewEpoch()) {}

void OwnershipWatch::Observe() {
  const std::int64_t now_ms = cluster_.world.ElapsedMs();
  if (!claimed_at_ms_ && HighestNewEpoch() > former_epoch_) {
    claimed_at_ms_ = now_ms;
  }
  has_former_owner_ended_ = has_former_owner_ended_ || !cluster_.IsOwner(former_owner_);
  for (std::size_t n = 0; n < instances_ && !taken_at_ms_; ++n) {
    if (cluster_.IsOwner(n) && (n != former_owner_ || has_former_owner_ended_)) {
      taken_at_ms_ = now_ms;
    }
  }
}

std::uint64_t OwnershipWatch::HighestNewEpoch() {
  const auto& records = cluster_.store.Records(adapter::PlatformAdapter::kJobsTopic);
  std::uint64_t highest = 0;
  for (; next_offset_ < records.size(); ++next_offset_) {
    highest = std::max(highest, EpochOf(records[next_offset_]));
  }
  return highest;
}

}  // namespace clementineloom::bench
