#pragma once

#include <chrono>
#include <compare>
#include <string>

namespace clementineloom::ctl::trace {

/// @brief The time in which a job's lines name a worker. An immutable value.
struct WorkerStay {
  std::string worker;
  std::chrono::microseconds from{0};
  std::chrono::microseconds until{0};

  friend auto operator<=>(const WorkerStay&, const WorkerStay&) = default;
};

}  // namespace clementineloom::ctl::trace
