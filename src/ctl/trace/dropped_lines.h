#pragma once

#include <cstdint>
#include <vector>

#include "ctl/trace/instance_log.h"

namespace clementineloom::ctl::trace {

/// @brief Lines that the instances did not write because nobody read their logs fast enough.
/// Thread safety: pure function.
[[nodiscard]] std::uint64_t DroppedLines(const std::vector<InstanceLog>& logs);

/// @brief Lines that the instances left out because they log a limited number per second.
/// Thread safety: pure function.
[[nodiscard]] std::uint64_t LeftOutLines(const std::vector<InstanceLog>& logs);

}  // namespace clementineloom::ctl::trace
