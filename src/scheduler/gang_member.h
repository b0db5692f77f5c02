#pragma once

#include <compare>
#include <cstdint>
#include <string>

#include "clementineloom/model/worker_id.h"

namespace clementineloom::scheduler {

/// @brief One worker of a gang, with the data that the task driver needs. An immutable value.
struct GangMember {
  WorkerId worker;
  std::string address;
  std::uint16_t accelerators = 1;
  /// The worker is gone from the instance list or was replaced, so nothing runs there any more.
  bool is_lost = false;

  friend auto operator<=>(const GangMember&, const GangMember&) = default;
};

}  // namespace clementineloom::scheduler
