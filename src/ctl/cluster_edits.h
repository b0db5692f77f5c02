#pragma once

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

#include "clementineloom/errors/result.h"
#include "settings/cluster_document.h"

namespace clementineloom::ctl {

/// @brief The edits that turn the current configuration into that of a document.
///
/// Teams that the document lacks are deleted; data centres are never deleted. Whether an existing
/// data centre is in service stays as it is: that is changed by `datacentre out` and `in` only, so
/// that publishing a file does not return a data centre that was taken out.
/// @param config answer of config.get
/// Errors: kMissingKey, kWrongType (the answer lacks a list).
[[nodiscard]] Result<boost::json::array> ClusterEdits(const settings::ClusterDocument& document,
                                                      const boost::json::object& config);

}  // namespace clementineloom::ctl
