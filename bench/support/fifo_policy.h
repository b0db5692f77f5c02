#pragma once

#include <utility>
#include <vector>

#include "clementineloom/decision/placer.h"
#include "clementineloom/model/instant.h"
#include "clementineloom/state/cluster_state.h"
#include "clementineloom/state/record_body.h"
#include "support/upkeep.h"

namespace clementineloom::bench {

/// @brief Baseline policy: places jobs in order of arrival. Its only other records are those of
/// UpkeepRecords, the maintenance that any scheduler has to do.
template <Placer P>
class FifoPolicy {
 public:
  explicit FifoPolicy(P placer) : placer_(std::move(placer)) {}

  [[nodiscard]] std::vector<RecordBody> Decide(const ClusterState& state, Instant now) {
    std::vector<RecordBody> records = UpkeepRecords(state);
    if (!records.empty()) {
      return records;
    }
    for (const JobId job : state.waiting_jobs()) {
      if (auto placement = placer_.Place(state, job, now)) {
        records.emplace_back(JobsPlaced{state.applied_offset(), {std::move(*placement)}});
        break;
      }
    }
    return records;
  }

 private:
  P placer_;
};

}  // namespace clementineloom::bench
