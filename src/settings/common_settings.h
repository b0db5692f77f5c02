#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace clementineloom::settings {

/// @brief Settings that loom-gateway and loom-scheduler share. docs/configuration.md lists keys,
/// units, defaults, ranges.
struct CommonSettings {
  std::string instance;
  std::string region;
  std::string data_centre;
  /// IP:PORT of /health and /metrics.
  std::string admin;
  /// IP:PORT of the log service's front ends, tried in order.
  std::vector<std::string> log_service;
  /// IP:PORT of the instance list.
  std::string instance_list;
  std::string log_level = "info";
  /// Empty for standard error.
  std::string log_file;
  std::uint32_t drain_timeout_ms = 30'000;
  /// Age of the view of the control stream above which nothing new is started.
  std::uint32_t max_view_age_ms = 2'000;
  std::uint32_t instance_list_interval_ms = 500;

  friend auto operator<=>(const CommonSettings&, const CommonSettings&) = default;
};

}  // namespace clementineloom::settings
