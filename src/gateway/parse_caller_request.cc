#include "gateway/parse_caller_request.h"

#include <utility>

#include "clementineloom/model/name.h"
#include "clementineloom/routing/idempotent_method.h"

namespace clementineloom::gateway {

Result<CallerRequest> ParseCallerRequest(net::ServerRequest request, const std::string& default_id,
                                         MonotonicTime received_at) {
  net::HttpRequest& http = request.request;
  const auto priority = ParseRequestPriority(http.headers.Find("X-Priority"));
  if (!priority) {
    return Refuse(ResultCode::kMalformedRequest, "X-Priority");
  }
  std::string team(http.headers.Find("X-Team"));
  if (!team.empty() && !IsValidName(team)) {
    return Refuse(ResultCode::kMalformedRequest, "X-Team");
  }
  // Without an id, a response to another request could not be detected.
  if (http.headers.Find("X-Request-Id").empty()) {
    http.headers = http.headers.With("X-Request-Id", default_id);
  }
  CallerRequest parsed;
  parsed.exchange = request.id;
  parsed.team = std::move(team);
  parsed.priority = *priority;
  parsed.is_idempotent = IsIdempotentMethod(http.method);
  parsed.received_at = received_at;
  parsed.request = std::move(http);
  return parsed;
}

}  // namespace clementineloom::gateway
