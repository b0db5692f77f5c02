#pragma once

#include <boost/json/value.hpp>
#include <string>
#include <vector>

#include "ctl/exit_code.h"
#include "ctl/table.h"

namespace clementineloom::ctl {

/// @brief Result of a verb, in the forms that the output formats need.
struct Report {
  /// For --json.
  boost::json::value data;
  /// For the output without --json: the tables, then the note.
  std::vector<Table> tables;
  std::string note;
  ExitCode exit_code = ExitCode::kOk;
};

}  // namespace clementineloom::ctl
