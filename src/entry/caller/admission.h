#pragma once

#include <optional>
#include <string>

#include "clementineloom/errors/refusal.h"
#include "clementineloom/workload/workload_config.h"
#include "entry/caller/admitted_call.h"
#include "entry/caller/caller_answers.h"
#include "entry/caller/caller_call.h"
#include "entry/caller/caller_log.h"
#include "entry/operator/operator_view.h"
#include "entry/port/call_port.h"
#include "net/server_request.h"

namespace clementineloom::entry {

/// @brief Checks callers' requests against the configuration in force, and answers those that it
/// rejects.
/// Thread safety: none; use from the thread of the port.
template <class Platform, CallPort Port>
class Admission {
 public:
  /// Precondition: the references outlive the admission.
  Admission(const OperatorView& operators, CallerLog<Port>& log, CallerAnswers<Port>& answers)
      : operators_(operators), log_(log), answers_(answers) {}

  /// @brief Admits a call whose queue exists and is open to the caller's team.
  /// Precondition: the request has not been answered.
  /// @return nothing if the request was rejected and is answered
  [[nodiscard]] std::optional<AdmittedCall> Admit(net::ExchangeId exchange,
                                                  const CallerCall& call) {
    if (!operators_.config()) {
      Reject(exchange, ResultCode::kViewStale, "no configuration loaded yet");
      return std::nullopt;
    }
    const workload::WorkloadConfig& config = *operators_.config();
    const workload::Queue* queue = config.Route(call.host, call.path);
    if (queue == nullptr) {
      Reject(exchange, ResultCode::kUnknownJob, "no such queue");
      return std::nullopt;
    }
    const workload::TeamAccess* team = config.TeamOfKey(call.key);
    if (team == nullptr && !queue->is_public) {
      log_.Unauthorized(call.path, queue->name);
      answers_.Answer(exchange, Platform::UnauthorizedResponse());
      return std::nullopt;
    }
    return AdmittedCall{call.kind, *queue, team == nullptr ? std::string() : team->name,
                        call.path.substr(queue->path_prefix.size()), call.timeout_ms};
  }

 private:
  void Reject(net::ExchangeId exchange, ResultCode code, const std::string& detail) {
    answers_.Refuse(exchange, {code, RunState::kDidNotRun, detail});
  }

  const OperatorView& operators_;
  CallerLog<Port>& log_;
  CallerAnswers<Port>& answers_;
};

}  // namespace clementineloom::entry
