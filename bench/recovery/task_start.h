#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>

namespace clementineloom::bench {

/// @brief A start of a task at a stand-in worker. An immutable value.
struct TaskStart {
  std::string task;
  std::size_t worker = 0;
  std::int64_t at_ms = 0;

  friend auto operator<=>(const TaskStart&, const TaskStart&) = default;
};

}  // namespace clementineloom::bench
