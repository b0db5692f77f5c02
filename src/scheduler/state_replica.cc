#include "scheduler/state_replica.h"

#include <algorithm>

#include "clementineloom/errors/result_code_table.h"
#include "logging/event_log.h"

namespace clementineloom::scheduler {
namespace {

using logging::LogEvent;
using logging::LogLevel;

}  // namespace

bool StateReplica::Follow(const platform::FollowedBatch& batch, const Observer& observer) {
  const bool is_restored = batch.restored != nullptr && Restore(*batch.restored);
  for (const platform::FollowedRecord& it : batch.records) {
    Apply(it, observer);
  }
  freshness_.read_to = batch.read_to;
  freshness_.tail = std::max(freshness_.tail, batch.tail);
  if (batch.is_at_tail()) {
    freshness_.at_tail = std::max(freshness_.at_tail, batch.read_at);
  }
  return is_restored;
}

void StateReplica::UpdateFreshness(const PeerFreshness& peer) {
  // This replica has read everything up to the peer's tail, so its view was complete at that time.
  if (freshness_.is_serving() && freshness_.read_to >= peer.tail) {
    freshness_.at_tail = std::max(freshness_.at_tail, peer.at_tail);
  }
}

bool StateReplica::Restore(const StateImage& image) {
  const bool is_older = image.applied_offset() < state_.applied_offset() ||
                        image.config_revision() < state_.config_revision();
  if (is_older) {
    metrics_.Count("loom_snapshots_refused_total", "reason", "snapshot_older");
    return false;
  }
  const auto refusal = RefusalOf([&]() -> Result<void> {
    BOOST_LEAF_ASSIGN(state_, ClusterState::Restore(image));
    return {};
  });
  if (refusal) {
    metrics_.Count("loom_snapshots_refused_total", "reason", ResultCodeName(refusal->code));
    return false;
  }
  LogEvent(LogLevel::kInfo, "snapshot_restored",
           {{"applied_offset", image.applied_offset().value()},
            {"config_revision", image.config_revision().value()}});
  return true;
}

void StateReplica::Apply(const platform::FollowedRecord& followed, const Observer& observer) {
  if (followed.code != ResultCode::kOk) {
    metrics_.Count("loom_records_skipped_total", "reason", ResultCodeName(followed.code));
    LogEvent(LogLevel::kWarning, "record_skipped",
             {{"offset", followed.offset.value()}, {"reason", ResultCodeName(followed.code)}});
    freshness_.is_outdated |= followed.code == ResultCode::kNewerSchema;
    return;
  }
  // After a restore, records that the state already includes may be read again.
  if (followed.record == nullptr || followed.offset <= state_.applied_offset()) {
    return;
  }
  const ApplyOutcome outcome = state_.Apply(followed.offset, *followed.record);
  if (!outcome.accepted()) {
    metrics_.Count("loom_records_void_total", "reason", ResultCodeName(outcome.code()));
  }
  observer(*followed.record, outcome);
}

}  // namespace clementineloom::scheduler
