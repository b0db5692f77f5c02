#pragma once

#include <concepts>
#include <ostream>

#include "clementineloom/errors/refusal.h"
#include "ctl/report.h"

namespace clementineloom::ctl {

/// @brief A way to write reports and refusals.
template <class T>
concept OutputFormat = requires(const T format, std::ostream& out, const Report& report,
                                const Refusal& refusal) {
  { format.Write(out, report) } -> std::same_as<void>;
  { format.Write(out, refusal) } -> std::same_as<void>;
};

}  // namespace clementineloom::ctl
