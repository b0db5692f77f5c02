#pragma once

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>
#include <string>

#include "clementineloom/errors/result.h"
#include "clementineloom/workload/job_submission.h"

namespace clementineloom::codec::detail {

/// @brief A submission without its id, which is in the record's key. Defaults are left out.
[[nodiscard]] boost::json::object ToJson(const workload::JobSubmission& submission);

/// @brief Reads what ToJson wrote. Errors: kMissingKey, kWrongType, kOutOfRange.
[[nodiscard]] Result<workload::JobSubmission> ReadSubmission(std::string id,
                                                             const boost::json::value& value);

}  // namespace clementineloom::codec::detail
