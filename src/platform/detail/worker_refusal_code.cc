#include "platform/detail/worker_refusal_code.h"

#include <cstdint>

#include "codec/detail/json_reader.h"
#include "platform/detail/parse_answer.h"

namespace clementineloom::platform::detail {
namespace {

using codec::detail::JsonReader;

Result<std::uint16_t> ReadCode(const JsonReader& json) {
  return json.Number<std::uint16_t>("code");
}

}  // namespace

ResultCode WorkerRefusalCode(const std::string& body) {
  const auto number = ParseAnswer<std::uint16_t>(body, ReadCode);
  const auto code = static_cast<ResultCode>(number.value_or(0));
  switch (code) {
    case ResultCode::kTokenSuperseded:
    case ResultCode::kReservationLapsed:
    case ResultCode::kAcceleratorsNotFree:
    case ResultCode::kUnknownJob:
      return code;
    default:
      return ResultCode::kWorkerRefused;
  }
}

}  // namespace clementineloom::platform::detail
