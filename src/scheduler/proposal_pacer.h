#pragma once

#include <chrono>
#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "clementineloom/state/record_body.h"
#include "scheduler/monotonic_time.h"

namespace clementineloom::scheduler {

/// @brief Delays proposals by rank, so that schedulers of a better rank can make them first.
///
/// This only avoids redundant proposals; correctness does not depend on it. Thread safety: none.
class ProposalPacer {
 public:
  explicit ProposalPacer(std::chrono::milliseconds rank_delay) : rank_delay_(rank_delay) {}

  /// @brief The proposals that this rank may make now.
  /// @param decided all proposals that follow from the current state; the delay of others is reset
  [[nodiscard]] std::vector<RecordBody> Due(std::vector<RecordBody> decided, std::size_t rank,
                                            MonotonicTime now);

 private:
  const std::chrono::milliseconds rank_delay_;
  std::map<std::string, MonotonicTime> first_seen_;
};

}  // namespace clementineloom::scheduler
