#pragma once

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>

#include "clementineloom/errors/result.h"
#include "clementineloom/state/records/config_edit.h"

namespace clementineloom::codec::detail {

/// @brief Writes an edit as an object with one member, named after the edit.
[[nodiscard]] boost::json::object ToJson(const ConfigEdit& edit);

/// @brief Reads an edit. Errors: kMissingKey, kWrongType and those of the value types' factories.
[[nodiscard]] Result<ConfigEdit> ReadConfigEdit(const boost::json::value& value);

}  // namespace clementineloom::codec::detail
