#pragma once

#include "clementineloom/concurrency/bounded_ring.h"
#include "metrics/metric_registry.h"
#include "scheduler/append_event.h"
#include "scheduler/drained.h"

namespace clementineloom::scheduler {

/// @brief The rings that the task driver writes to; it never blocks on them.
struct DriverOutputs {
  BoundedRing<AppendEvent>& append;
  BoundedRing<Drained>& drained;
  metrics::MetricRegistry& metrics;
};

}  // namespace clementineloom::scheduler
