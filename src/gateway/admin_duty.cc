#include "gateway/admin_duty.h"

#include <string>
#include <utility>

#include "net/refusal_response.h"

namespace clementineloom::gateway {
namespace {

constexpr int kOk = 200;
constexpr int kServiceUnavailable = 503;

net::HttpResponse Text(int status, std::string body) {
  return {status, net::HttpHeaders().With("Content-Type", "text/plain"), std::move(body)};
}

}  // namespace

void AdminDuty::Run() {
  while (const auto request = requests_.Pop()) {
    server_.Answer(request->id, Answer(request->request));
  }
}

net::HttpResponse AdminDuty::Answer(const net::HttpRequest& request) const {
  if (request.method == "GET" && request.target == "/health") {
    return Health();
  }
  if (request.method == "GET" && request.target == "/metrics") {
    return Text(kOk, metrics_.Expose());
  }
  return net::RefusalResponse({ResultCode::kMalformedRequest, RunState::kDidNotRun,
                               "only GET /health and GET /metrics are served here"});
}

net::HttpResponse AdminDuty::Health() const {
  if (health_.is_draining) {
    return Text(kServiceUnavailable, "draining\n");
  }
  if (health_.is_outdated) {
    return Text(kServiceUnavailable, "outdated\n");
  }
  if (!health_.is_control_caught_up || !health_.are_claims_caught_up) {
    return Text(kServiceUnavailable, "catching_up\n");
  }
  return Text(kOk, "serving\n");
}

}  // namespace clementineloom::gateway
