#pragma once

#include <chrono>
#include <string>
#include <string_view>
#include <vector>

#include "clementineloom/errors/result.h"
#include "ctl/metric_sample.h"

namespace clementineloom::ctl {

/// @brief The series of a page in the text format; lines that cannot be read are left out.
/// Thread safety: a pure function.
[[nodiscard]] std::vector<MetricSample> ParseMetrics(std::string_view page);

/// @brief Reads the metrics page of a daemon.
/// @param address IP:PORT
/// Errors: those of BlockingHttpClient::Call, kPeerUnavailable for an answer other than 200.
/// Thread safety: may be called from any thread.
[[nodiscard]] Result<std::vector<MetricSample>> FetchMetrics(const std::string& address,
                                                             std::chrono::milliseconds timeout);

}  // namespace clementineloom::ctl
