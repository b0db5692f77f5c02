#pragma once

#include <cxxopts.hpp>
#include <string>
#include <vector>

#include "ctl/scheduler_connection.h"

namespace clementineloom::ctl {

/// @brief A verb's arguments, options and way to the scheduler.
struct Invocation {
  std::vector<std::string> arguments;
  const cxxopts::ParseResult& options;
  SchedulerConnection& scheduler;
};

}  // namespace clementineloom::ctl
