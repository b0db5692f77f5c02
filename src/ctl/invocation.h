#pragma once

#include <cxxopts.hpp>
#include <string>
#include <vector>

#include "ctl/scheduler_connection.h"

namespace clementineloom::ctl {

/// @brief Arguments and options of a verb, and its connection to the scheduler.
struct Invocation {
  std::vector<std::string> arguments;
  const cxxopts::ParseResult& options;
  SchedulerConnection& scheduler;
};

}  // namespace clementineloom::ctl
