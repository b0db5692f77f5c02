#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>

#include "standin/standin_cluster.h"

namespace clementineloom::bench {

/// @brief Notes when a new ownership is claimed at the store and when an instance holds it.
/// Thread safety: none.
class OwnershipWatch {
 public:
  /// @param owner of the cluster now
  OwnershipWatch(standin::StandInCluster& cluster, std::size_t instances, std::size_t owner);

  /// @brief Looks at the cluster. Call once a millisecond.
  void Observe();

  /// @brief Times of the world, in ms; empty until it has happened.
  [[nodiscard]] std::optional<std::int64_t> claimed_at_ms() const { return claimed_at_ms_; }
  [[nodiscard]] std::optional<std::int64_t> taken_at_ms() const { return taken_at_ms_; }

 private:
  // The highest epoch of an owner among the records that have been appended since the last call.
  [[nodiscard]] std::uint64_t HighestNewEpoch();

  standin::StandInCluster& cluster_;
  const std::size_t instances_;
  const std::size_t former_owner_;
  bool has_former_owner_ended_ = false;
  std::uint64_t next_offset_ = 0;
  std::uint64_t former_epoch_ = 0;
  std::optional<std::int64_t> claimed_at_ms_;
  std::optional<std::int64_t> taken_at_ms_;
};

}  // namespace clementineloom::bench
