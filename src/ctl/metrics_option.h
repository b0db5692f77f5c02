#pragma once

#include <cxxopts.hpp>
#include <optional>
#include <string>

#include "ctl/invocation.h"

namespace clementineloom::ctl {

/// @brief Adds the option that names the metrics page of the entry instance that owns the workers.
void AddMetricsOption(cxxopts::Options& options);

/// @brief The value of the option, or nothing if it was not given.
[[nodiscard]] std::optional<std::string> MetricsAddress(const Invocation& invocation);

}  // namespace clementineloom::ctl
