#pragma once

#include <boost/json/array.hpp>
#include <boost/json/value.hpp>
#include <span>
#include <string>
#include <string_view>

#include "ctl/column.h"
#include "ctl/table.h"

namespace clementineloom::ctl {

/// @brief The text of a nested member; "-" if it is absent, null, or an empty string or list.
[[nodiscard]] std::string CellOf(const boost::json::value& value, std::string_view path);

/// @brief One row for each element of an array of objects.
[[nodiscard]] Table TableOf(const boost::json::array& array, std::span<const Column> columns);

}  // namespace clementineloom::ctl
