#pragma once

#include <compare>
#include <cstddef>
#include <string>
#include <vector>

#include "clementineloom/membership/scheduler_peer.h"
#include "clementineloom/model/config_revision.h"
#include "scheduler/operator/freshness_view.h"

namespace clementineloom::scheduler {

/// @brief Answer to StatusGet. An immutable value.
struct StatusView {
  std::string instance;
  FreshnessView freshness;
  ConfigRevision config_revision;
  bool is_serving = false;
  bool is_outdated = false;
  bool is_draining = false;
  std::size_t waiting_jobs = 0;
  std::size_t active_jobs = 0;
  std::size_t workers = 0;
  std::vector<SchedulerPeer> peers;

  friend auto operator<=>(const StatusView&, const StatusView&) = default;
};

}  // namespace clementineloom::scheduler
