#pragma once

#include <boost/json/array.hpp>

#include "ctl/table.h"

namespace clementineloom::ctl {

/// @brief One row for each guarantee of each team. @param teams as in the answer of config.get
[[nodiscard]] Table TeamTable(const boost::json::array& teams);

}  // namespace clementineloom::ctl
