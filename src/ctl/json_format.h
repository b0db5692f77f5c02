#pragma once

#include <ostream>

#include "ctl/output_format.h"

namespace clementineloom::ctl {

/// @brief Writes one JSON value per line, for programs.
class JsonFormat {
 public:
  void Write(std::ostream& out, const Report& report) const;
  void Write(std::ostream& out, const Refusal& refusal) const;
};

static_assert(OutputFormat<JsonFormat>);

}  // namespace clementineloom::ctl
