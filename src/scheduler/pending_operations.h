#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <string>

#include "clementineloom/state/apply_outcome.h"
#include "clementineloom/state/cluster_state.h"
#include "clementineloom/state/record.h"
#include "scheduler/operator/operator_call.h"
#include "scheduler/proposal_dropped.h"

namespace clementineloom::scheduler {

/// @brief Operator requests whose record was proposed and not yet read back.
///
/// Each is answered once: by the outcome of its record, by the drop of the proposal, or at its
/// deadline with an unknown outcome, because the record may still take effect.
/// Thread safety: none; the decision duty owns it.
class PendingOperations {
 public:
  void Add(const std::string& record_id, OperatorCall call) {
    calls_.emplace(record_id, std::move(call));
  }

  /// @brief Answers the request of a record that was read back and validated.
  void Resolve(const ClusterState& state, const Record& record, const ApplyOutcome& outcome);

  /// @brief Answers the request of a proposal that was dropped.
  void Drop(const ProposalDropped& dropped);

  /// @brief Answers all requests whose deadline has passed.
  void Expire(MonotonicTime now);

  [[nodiscard]] std::size_t size() const { return calls_.size(); }

 private:
  std::map<std::string, OperatorCall> calls_;
};

}  // namespace clementineloom::scheduler
