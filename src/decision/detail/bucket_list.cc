#include "clementineloom/decision/detail/bucket_list.h"

namespace clementineloom::detail {

void BucketList::Put(std::uint32_t item, std::uint32_t bucket) {
  if (item >= positions_.size()) {
    positions_.resize(item + 1);
  }
  if (bucket >= buckets_.size()) {
    buckets_.resize(bucket + 1);
  }
  Position& position = positions_[item];
  if (position.bucket == bucket) {
    return;
  }
  if (position.bucket != kNoBucket) {
    Remove(position);
  }
  position = {bucket, static_cast<std::uint32_t>(buckets_[bucket].size())};
  buckets_[bucket].push_back(item);
}

void BucketList::Remove(const Position& position) {
  auto& items = buckets_[position.bucket];
  items[position.index] = items.back();
  positions_[items.back()].index = position.index;
  items.pop_back();
}

}  // namespace clementineloom::detail
