#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>

#include "clementineloom/model/worker_condition.h"

namespace clementineloom::scheduler {

/// @brief A worker as operators see it. An immutable value.
struct WorkerView {
  std::string name;
  std::string address;
  std::string data_centre;
  std::string rack;
  std::uint16_t accelerators = 0;
  std::uint16_t free_accelerators = 0;
  WorkerCondition condition = WorkerCondition::kLive;
  std::size_t jobs = 0;

  friend auto operator<=>(const WorkerView&, const WorkerView&) = default;
};

}  // namespace clementineloom::scheduler
