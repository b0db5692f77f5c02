#pragma once

#include <compare>
#include <cstdint>
#include <string>

#include "settings/common_settings.h"

namespace clementineloom::settings {

/// @brief Settings of loom-scheduler.
struct SchedulerSettings {
  CommonSettings common;
  /// IP:PORT of the operators' and peers' JSON-RPC.
  std::string rpc;
  std::uint32_t lease_ms = 10'000;
  std::uint32_t renew_interval_ms = 3'000;
  /// Age of the view up to which leases are still renewed.
  std::uint32_t max_renew_view_age_ms = 900'000;
  std::uint32_t reserve_timeout_ms = 1'500;
  /// A scheduler of rank r waits r times as long before it proposes.
  std::uint32_t rank_delay_ms = 400;
  std::uint32_t ring_capacity = 4'096;
  /// Records between two snapshots on the control stream.
  std::uint32_t snapshot_interval_records = 20'000;

  friend auto operator<=>(const SchedulerSettings&, const SchedulerSettings&) = default;
};

}  // namespace clementineloom::settings
