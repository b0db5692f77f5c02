#pragma once

#include "clementineloom/concurrency/bounded_ring.h"
#include "metrics/metric_registry.h"
#include "scheduler/admin_event.h"
#include "scheduler/append_event.h"
#include "scheduler/drained.h"
#include "scheduler/driver_event.h"
#include "scheduler/peer_event.h"

namespace clementineloom::scheduler {

/// @brief The rings that the decision duty writes to; it never blocks on them.
struct DecisionOutputs {
  BoundedRing<AppendEvent>& append;
  BoundedRing<DriverEvent>& driver;
  BoundedRing<AdminEvent>& admin;
  BoundedRing<PeerEvent>& peers;
  BoundedRing<Drained>& drained;
  metrics::MetricRegistry& metrics;
};

}  // namespace clementineloom::scheduler
