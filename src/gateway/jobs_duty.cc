#include "gateway/jobs_duty.h"

#include <boost/json/serialize.hpp>

#include "gateway/job_call.h"

namespace clementineloom::gateway {
namespace {

constexpr int kOk = 200;

}  // namespace

void JobsDuty::Run() {
  while (const auto request = requests_.Pop()) {
    const auto refusal = RefusalOf([&]() -> Result<void> {
      BOOST_LEAF_AUTO(response, Answer(*request));
      responder_.Answer(*request, std::move(response));
      return {};
    });
    if (refusal) {
      responder_.Refuse(*request, *refusal);
    }
  }
}

Result<net::HttpResponse> JobsDuty::Answer(const CallerRequest& request) {
  const std::string key = process_ + "/" + std::to_string(request.exchange.value());
  BOOST_LEAF_AUTO(call, JobCallOf(request, key));
  BOOST_LEAF_AUTO(result, scheduler_.Call(call.method, call.params, timeout_));
  const net::HttpHeaders headers =
      net::HttpHeaders()
          .With("Content-Type", "application/json")
          .With("X-Request-Id", request.request.headers.Find("X-Request-Id"));
  return net::HttpResponse{kOk, headers, boost::json::serialize(result) + "\n"};
}

}  // namespace clementineloom::gateway
