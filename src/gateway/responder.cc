#include "gateway/responder.h"

#include <chrono>
#include <utility>

#include "clementineloom/errors/result_code_table.h"
#include "gateway/metric_names.h"
#include "net/refusal_response.h"

namespace clementineloom::gateway {

void Responder::Answer(const CallerRequest& request, net::HttpResponse response) {
  server_.Answer(request.exchange, std::move(response));
  metrics_.Observe(kRequestSeconds, std::chrono::steady_clock::now() - request.received_at);
}

void Responder::Refuse(const CallerRequest& request, const Refusal& refusal) {
  Refuse(request.exchange, refusal);
}

void Responder::Refuse(net::ExchangeId exchange, const Refusal& refusal) {
  metrics_.Count(kRefusals, "reason", ResultCodeName(refusal.code));
  server_.Answer(exchange, net::RefusalResponse(refusal));
}

}  // namespace clementineloom::gateway
