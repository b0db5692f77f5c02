#pragma once

#include <ostream>

#include "ctl/output_format.h"

namespace clementineloom::ctl {

/// @brief Writes tables and notes for people.
class TableFormat {
 public:
  void Write(std::ostream& out, const Report& report) const;
  void Write(std::ostream& out, const Refusal& refusal) const;
};

static_assert(OutputFormat<TableFormat>);

}  // namespace clementineloom::ctl
