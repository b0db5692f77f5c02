#pragma once

#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <set>
#include <string>

#include "soak/fault_kind.h"
#include "soak/job_mix.h"
#include "soak/still_judging.h"

namespace clementineloom::soak {

/// @brief What one run of a soak does. An immutable value.
struct SoakOptions {
  /// Paths of the program and of the template of its settings.
  std::string entry;
  std::string settings_template;
  std::uint64_t seed = 1;
  std::size_t instances = 9;
  std::size_t workers = 48;
  std::int64_t accelerators_per_worker = 2;
  /// Time with faults, and time without at the end.
  std::chrono::seconds length{60};
  std::chrono::seconds calm{25};
  /// Jobs submitted per second by all callers together.
  double rate = 8;
  std::set<FaultKind> faults;
  JobMix jobs = JobMix::kPlain;
  StillJudging still = StillJudging::kCalm;
  /// Folder for logs that are kept; empty to remove them when the run has found no violation.
  std::string keep;

  /// @brief Reads the command line. Throws an exception with a message for the user.
  [[nodiscard]] static SoakOptions Parse(int argc, char** argv);
  /// @brief The options in the form of the command line.
  [[nodiscard]] std::string Text() const;

  friend auto operator<=>(const SoakOptions&, const SoakOptions&) = default;
};

}  // namespace clementineloom::soak
