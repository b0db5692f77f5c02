#pragma once

#include <boost/json/object.hpp>
#include <string>

#include "clementineloom/errors/result.h"
#include "gateway/caller_request.h"
#include "rpc/rpc_call.h"

namespace clementineloom::gateway {

/// @brief Whether a target belongs to the job interface, which the scheduler serves.
[[nodiscard]] bool IsJobTarget(const std::string& target);

/// @brief The scheduler's call for POST /v1/jobs, GET /v1/jobs/ID or DELETE /v1/jobs/ID.
///
/// The body of POST is a job specification. A submission without Idempotency-Key gets the key
/// default_key, so that its repetition by the caller is a new job.
/// Errors: kMalformedRequest, kMalformedDocument (body), kUnknownJob (the id is no number),
/// kInvalidValue (the team of the specification is not that of X-Team).
[[nodiscard]] Result<rpc::RpcCall> JobCallOf(const CallerRequest& request,
                                             const std::string& default_key);

}  // namespace clementineloom::gateway
