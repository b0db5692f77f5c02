#include "ctl/metrics_option.h"

namespace clementineloom::ctl {

void AddMetricsOption(cxxopts::Options& options) {
  options.add_options()("metrics",
                        "metrics address of the entry instance that owns the workers, IP:PORT",
                        cxxopts::value<std::string>());
}

std::optional<std::string> MetricsAddress(const Invocation& invocation) {
  return invocation.options.count("metrics") > 0
             ? std::optional(invocation.options["metrics"].as<std::string>())
             : std::nullopt;
}

}  // namespace clementineloom::ctl
