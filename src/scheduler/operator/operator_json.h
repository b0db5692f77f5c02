#pragma once

#include <boost/json/value.hpp>

#include "clementineloom/errors/result.h"
#include "rpc/rpc_call.h"
#include "scheduler/operator/operator_answer.h"
#include "scheduler/operator/operator_request.h"

namespace clementineloom::scheduler {

/// @brief Reads the request of an RPC call. Errors: kMissingKey, kWrongType, kInvalidValue and
/// those of the value types' factories.
[[nodiscard]] Result<OperatorRequest> ReadOperatorRequest(const rpc::RpcCall& call);

/// @brief Writes an answer; a refusal becomes the error of the Result.
[[nodiscard]] Result<boost::json::value> WriteOperatorAnswer(const OperatorAnswer& answer);

}  // namespace clementineloom::scheduler
