#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace clementineloom::settings {

/// @brief Settings of loom-entry. docs/configuration.md lists keys, units, defaults, ranges.
struct EntrySettings {
  std::string instance;
  std::string region;
  std::string data_centre;
  /// IP:PORT for callers.
  std::string listen;
  /// IP:PORT of the readiness check.
  std::string ready;
  /// IP:PORT of the metrics page; empty for none.
  std::string metrics;
  /// IP:PORT of the store.
  std::string store;
  /// IP:PORT of the advice service; empty where there is none.
  std::string advice;
  std::string log_level = "info";
  /// Processor cores that the instance may use; 0 if unknown.
  double processor_share = 0.0;
  /// Time for requests in progress to finish on SIGTERM.
  std::uint32_t drain_timeout_ms = 5'000;
  /// Longest lease that workers grant.
  std::uint32_t max_lease_ms = 10'000;
  /// Longest time that a worker takes to stop a run.
  std::uint32_t stop_timeout_ms = 1'000;
  /// Time that the members of a gang wait for each other.
  std::uint32_t gang_timeout_ms = 3'000;
  /// Time for which the state of an ended job is kept.
  std::uint32_t state_retention_s = 120;

  friend auto operator<=>(const EntrySettings&, const EntrySettings&) = default;
};

}  // namespace clementineloom::settings
