#pragma once

#include <cstdint>
#include <vector>

namespace clementineloom::detail {

/// @brief Items grouped into buckets by a small integer key; insert, move and erase take constant
/// time.
///
/// Thread safety: none.
class BucketList {
 public:
  /// @brief Moves an item into a bucket, or adds it there when it was in none.
  void Put(std::uint32_t item, std::uint32_t bucket);

  /// @brief Number of buckets; all buckets with greater numbers are empty.
  [[nodiscard]] std::uint32_t size() const { return static_cast<std::uint32_t>(buckets_.size()); }
  /// @brief Items of a bucket in no particular order. Precondition: bucket < size().
  [[nodiscard]] const std::vector<std::uint32_t>& bucket(std::uint32_t bucket) const {
    return buckets_[bucket];
  }

 private:
  struct Position {
    std::uint32_t bucket = kNoBucket;
    std::uint32_t index = 0;
  };
  static constexpr std::uint32_t kNoBucket = UINT32_MAX;

  void Remove(const Position& position);

  std::vector<std::vector<std::uint32_t>> buckets_;
  std::vector<Position> positions_;
};

}  // namespace clementineloom::detail
