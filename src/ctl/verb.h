#pragma once

#include <cstddef>
#include <cxxopts.hpp>
#include <string_view>

#include "clementineloom/errors/result.h"
#include "ctl/invocation.h"
#include "ctl/report.h"

namespace clementineloom::ctl {

/// @brief A command of loomctl.
struct Verb {
  /// One or two words, for example "job submit".
  std::string_view name;
  /// Arguments as shown in the help, for example "FILE".
  std::string_view arguments;
  std::string_view summary;
  /// One command line per line.
  std::string_view examples;
  std::size_t min_arguments = 0;
  std::size_t max_arguments = 0;
  /// Adds the verb's own options; nullptr if it has none.
  void (*add_options)(cxxopts::Options&) = nullptr;
  Result<Report> (*run)(const Invocation&) = nullptr;
};

}  // namespace clementineloom::ctl
