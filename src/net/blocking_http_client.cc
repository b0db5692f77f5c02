#include "net/blocking_http_client.h"

#include <utility>

namespace clementineloom::net {

BlockingHttpClient::BlockingHttpClient(const std::string& name, HttpClientOptions options)
    : client_(name, options,
              [this](ClientResult result) { (void)results_.TryPush(std::move(result)); }) {}

Result<HttpResponse> BlockingHttpClient::Call(const std::string& address, HttpRequest request,
                                              std::chrono::milliseconds timeout) {
  const CallId id(++last_call_);
  if (!client_.Send({id, address, std::move(request), timeout})) {
    return Refuse(ResultCode::kQueueFull, "call ring is full");
  }
  ClientResult result = *results_.Pop();
  if (!result.response) {
    return Refuse(result.refusal->code, address + ": " + result.refusal->detail,
                  result.refusal->run_state);
  }
  return std::move(*result.response);
}

}  // namespace clementineloom::net
