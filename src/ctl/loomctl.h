#pragma once

#include <ostream>
#include <string>
#include <vector>

#include "ctl/exit_code.h"

namespace clementineloom::ctl {

/// @brief Runs one command line, without the program's name.
/// @param out receives reports and help
/// @param err receives refusals
[[nodiscard]] ExitCode RunLoomctl(std::vector<std::string> words, std::ostream& out,
                                  std::ostream& err);

}  // namespace clementineloom::ctl
