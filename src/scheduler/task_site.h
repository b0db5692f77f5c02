#pragma once

#include <compare>
#include <cstdint>
#include <string>

#include "clementineloom/model/worker_id.h"

namespace clementineloom::scheduler {

/// @brief One worker of a gang as the task driver needs it. An immutable value.
struct TaskSite {
  WorkerId worker;
  std::string address;
  std::uint16_t accelerators = 1;
  /// Gone from the instance list, so that nothing runs there any more.
  bool is_lost = false;

  friend auto operator<=>(const TaskSite&, const TaskSite&) = default;
};

}  // namespace clementineloom::scheduler
