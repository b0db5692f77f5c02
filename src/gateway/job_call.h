#pragma once

#include <boost/json/object.hpp>
#include <string>

#include "clementineloom/errors/result.h"
#include "gateway/caller_request.h"
#include "rpc/rpc_call.h"

namespace clementineloom::gateway {

/// @brief Whether a request target belongs to the job API, which the scheduler serves.
[[nodiscard]] bool IsJobTarget(const std::string& target);

/// @brief Translates POST /v1/jobs, GET /v1/jobs/ID or DELETE /v1/jobs/ID into a scheduler RPC.
///
/// The body of POST is a job specification.
/// @param default_key idempotency key of a submission without Idempotency-Key; it should be unique,
/// so that a caller that repeats such a submission creates a new job
/// Errors: kMalformedRequest, kMalformedDocument (body), kUnknownJob (the id is not a number),
/// kInvalidValue (the team of the specification differs from X-Team).
[[nodiscard]] Result<rpc::RpcCall> JobCallOf(const CallerRequest& request,
                                             const std::string& default_key);

}  // namespace clementineloom::gateway
