#include "net/refusal_response.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <string>
#include <string_view>

#include "clementineloom/errors/result_code_table.h"
#include "clementineloom/errors/run_state_name.h"

namespace clementineloom::net {

int HttpStatusOf(ResultCode code) {
  switch (code) {
    case ResultCode::kOk:
      return 200;
    case ResultCode::kMalformedRequest:
    case ResultCode::kInvalidValue:
    case ResultCode::kMalformedDocument:
    case ResultCode::kMissingKey:
    case ResultCode::kWrongType:
    case ResultCode::kUnknownKey:
    case ResultCode::kOutOfRange:
      return 400;
    case ResultCode::kUnknownTeam:
    case ResultCode::kUnknownJob:
    case ResultCode::kUnknownWorker:
    case ResultCode::kUnknownDataCentre:
      return 404;
    case ResultCode::kCallerTooSlow:
      return 408;
    case ResultCode::kRevisionConflict:
    case ResultCode::kPlanChanged:
    case ResultCode::kInProgressElsewhere:
    case ResultCode::kTokenSuperseded:
    case ResultCode::kReservationLapsed:
      return 409;
    case ResultCode::kRequestTooLarge:
      return 413;
    case ResultCode::kKeyReused:
    case ResultCode::kJobNeverFits:
      return 422;
    case ResultCode::kTeamLimitReached:
    case ResultCode::kQuotaExceeded:
    case ResultCode::kRateExceeded:
      return 429;
    case ResultCode::kUpstreamFailed:
    case ResultCode::kOutcomeUnknown:
    case ResultCode::kAnswerTruncated:
      return 502;
    case ResultCode::kUpstreamTimedOut:
    case ResultCode::kAppendUnknown:
      return 504;
    default:
      return 503;
  }
}

HttpResponse RefusalResponse(const Refusal& refusal) {
  const std::string_view name = ResultCodeName(refusal.code);
  const std::string_view run_state = RunStateName(refusal.run_state);
  const auto number = static_cast<unsigned>(refusal.code);
  const boost::json::object body{
      {"code", number}, {"name", name}, {"run_state", run_state}, {"detail", refusal.detail}};
  const HttpHeaders headers({{"Content-Type", "application/json"},
                             {"X-Result-Code", std::to_string(number)},
                             {"X-Run-State", std::string(run_state)}});
  return HttpResponse{HttpStatusOf(refusal.code), headers, boost::json::serialize(body) + "\n"};
}

}  // namespace clementineloom::net
