#include "platform/detail/refused_run_state.h"

#include <string>

#include "clementineloom/errors/run_state_name.h"
#include "codec/detail/json_reader.h"
#include "platform/detail/parse_answer.h"

namespace clementineloom::platform::detail {
namespace {

using codec::detail::JsonReader;

constexpr int kFirstClientError = 400;
constexpr int kFirstServerError = 500;

Result<std::string> ReadRunState(const JsonReader& json) { return json.String("run_state"); }

}  // namespace

RunState RefusedRunState(const net::HttpResponse& response) {
  const auto name = ParseAnswer<std::string>(response.body, ReadRunState);
  const bool is_client_error =
      response.status >= kFirstClientError && response.status < kFirstServerError;
  const bool did_not_run = name ? *name == RunStateName(RunState::kDidNotRun) : is_client_error;
  return did_not_run ? RunState::kDidNotRun : RunState::kMayHaveRun;
}

}  // namespace clementineloom::platform::detail
