#pragma once

#include <functional>
#include <memory>

#include "clementineloom/state/cluster_state.h"
#include "metrics/metric_registry.h"
#include "platform/followed_batch.h"
#include "scheduler/peer_freshness.h"
#include "scheduler/view_freshness.h"

namespace clementineloom::scheduler {

/// @brief A ClusterState that follows the control stream, and the freshness of its view.
///
/// Thread safety: none; the decision duty owns it.
class StateReplica {
 public:
  using Observer = std::function<void(const Record&, const ApplyOutcome&)>;

  explicit StateReplica(metrics::MetricRegistry& metrics) : metrics_(metrics) {}

  /// @brief Restores the snapshot and applies the records of a batch. @param observer is called
  /// after each record
  /// @return whether the state was replaced by a snapshot.
  bool Follow(const platform::FollowedBatch& batch, const Observer& observer);

  /// @brief Updates the freshness from a peer's view, if this replica has read up to its tail.
  void UpdateFreshness(const PeerFreshness& peer);

  [[nodiscard]] const ClusterState& state() const { return state_; }
  [[nodiscard]] const ViewFreshness& freshness() const { return freshness_; }

 private:
  bool Restore(const StateImage& image);
  void Apply(const platform::FollowedRecord& followed, const Observer& observer);

  metrics::MetricRegistry& metrics_;
  ClusterState state_;
  ViewFreshness freshness_;
};

}  // namespace clementineloom::scheduler
