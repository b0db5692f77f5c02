#pragma once

#include <compare>
#include <optional>

#include "clementineloom/workload/steady_time.h"

namespace clementineloom::standin {

/// @brief What the network does to one call. An immutable value.
struct CallFault {
  /// Time that the request takes beyond the usual one.
  workload::Milliseconds request_delay{0};
  /// Time that the answer takes beyond the usual one, so that the answer to a later call may
  /// overtake it.
  workload::Milliseconds answer_delay{0};
  /// Time after its arrival at which the request arrives once more. The second answer is lost.
  std::optional<workload::Milliseconds> repeated_after;
  bool loses_answer = false;

  friend auto operator<=>(const CallFault&, const CallFault&) = default;
};

}  // namespace clementineloom::standin
