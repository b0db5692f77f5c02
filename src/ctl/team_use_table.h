#pragma once

#include <span>

#include "ctl/metric_sample.h"
#include "ctl/table.h"

namespace clementineloom::ctl {

/// @brief One row for each team with limits: its weight, what its runs hold against its quota, and
/// its jobs that wait. A team that is not limited in a resource has a dash there.
/// @param samples metrics page of the instance that owns the workers
/// Thread safety: a pure function.
[[nodiscard]] Table TeamUseTable(std::span<const MetricSample> samples);

}  // namespace clementineloom::ctl
