#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "clementineloom/errors/refusal.h"
#include "clementineloom/errors/run_state_name.h"
#include "clementineloom/workload/job_entry.h"
#include "entry/caller/caller_hooks.h"
#include "entry/caller/caller_target.h"
#include "entry/caller/jobs_view.h"
#include "entry/caller/waiting_record.h"
#include "entry/operator/operator_view.h"
#include "entry/port/call_port.h"
#include "logging/event_budget.h"
#include "logging/event_log.h"
#include "net/http_response.h"

namespace clementineloom::entry {

/// @brief Logs how callers' requests are answered.
/// Thread safety: none; use from the thread of the port.
template <CallPort Port>
class CallerLog {
 public:
  /// Precondition: the references outlive the log.
  CallerLog(Port& port, const OperatorView& operators, const CallerHooks& hooks)
      : port_(port), operators_(operators), hooks_(hooks), view_(port, hooks) {}

  /// @brief Logs a refusal, unless the budget of refusals is used up.
  /// @param target what the refused request asks for
  void Refused(const CallerTarget& target, const Refusal& refusal) {
    if (!refusal_budget_.Allow(port_.Now())) {
      return;
    }
    logging::LogEvent(logging::LogLevel::kInfo, "request_refused",
                      {{"path", target.path},
                       {"method", target.method},
                       {"code", static_cast<int>(refusal.code)},
                       {"run_state", RunStateName(refusal.run_state)},
                       {"detail", refusal.detail},
                       {"answers", target.asker},
                       {"view_age_ms", view_.Age().count()},
                       {"config_version", operators_.config() ? operators_.config()->version : 0},
                       {"left_out", refusal_budget_.TakeLeftOut()}});
  }

  /// @brief Logs a request without a valid key. It has a budget of its own, so that callers without
  /// a key do not displace lines of refusals.
  /// Precondition: a configuration is in force.
  void Unauthorized(const std::string& path, const std::string& queue) {
    if (!unauthorized_budget_.Allow(port_.Now())) {
      return;
    }
    logging::LogEvent(logging::LogLevel::kInfo, "request_unauthorized",
                      {{"path", path},
                       {"queue", queue},
                       {"config_version", operators_.config()->version},
                       {"left_out", unauthorized_budget_.TakeLeftOut()}});
  }

  /// @brief Logs that a submission or cancellation was stored.
  /// @param asker who is answered
  /// @param duration from the append to its acknowledgement
  /// Precondition: a configuration is in force.
  void Recorded(bool is_submission, const std::string& job, std::string_view asker,
                workload::Milliseconds duration) const {
    logging::LogEvent(logging::LogLevel::kInfo, is_submission ? "job_accepted" : "job_cancelled",
                      {{"job", job},
                       {"record_ms", duration.count()},
                       {"answers", asker},
                       {"config_version", operators_.config()->version}});
  }

  /// @brief Logs that a submission or cancellation repeats one that is already recorded.
  void AlreadyRecorded(const CallerTarget& target, const std::string& job,
                       const workload::JobEntry& entry) const {
    logging::LogEvent(logging::LogLevel::kInfo, "request_already_recorded",
                      {{"job", job},
                       {"method", target.method},
                       {"answers", target.asker},
                       {"state", static_cast<int>(entry.State())}});
  }

  /// @brief Logs that a read of a job is answered with the statement that there is no such job,
  /// unless the budget of these lines is used up.
  /// @param target what the read asks for
  /// @param source what the answer is taken from: "view" or "peer"
  void JobNotFound(const CallerTarget& target, std::string_view source) {
    if (!not_found_budget_.Allow(port_.Now())) {
      return;
    }
    const std::string job = target.path.substr(target.path.rfind('/') + 1);
    const ViewDetails details = hooks_.view_details();
    const std::optional<JobRemoval> removal = hooks_.removal_of(job);
    logging::LogEvent(logging::LogLevel::kInfo, "job_not_found",
                      {{"job", job},
                       {"method", target.method},
                       {"answers", target.asker},
                       {"source", source},
                       {"unknown_ms", view_.UnknownFor().count()},
                       {"view_age_ms", view_.Age().count()},
                       {"next_offset", details.next_offset},
                       {"is_owner", details.is_owner ? 1 : 0},
                       {"is_behind", details.is_behind ? 1 : 0},
                       {"has_store", hooks_.has_store() ? 1 : 0},
                       {"removed_by", removal ? removal->cause : ""},
                       {"removed_ms", removal ? AgeOf(*removal).count() : 0},
                       {"left_out", not_found_budget_.TakeLeftOut()}});
  }

  /// @brief Logs that a peer answered a request. Reads are not logged: callers repeat them until a
  /// job ends.
  /// @param target empty for a request that has been answered before
  void AnsweredByPeer(const CallerTarget& target, const net::HttpResponse& answer) const {
    if (!target.method.empty() && target.method != "GET") {
      logging::LogEvent(
          logging::LogLevel::kInfo, "peer_answered_request",
          {{"path", target.path}, {"method", target.method}, {"status", answer.status}});
    }
  }

  /// @brief Logs that the outcome of a submission or cancellation is not known in time.
  /// Precondition: a configuration is in force.
  void OutcomeUnknown(const CallerTarget& target, const WaitingRecord& waiting) const {
    const bool awaits_owner = !waiting.asked_owner.empty();
    logging::LogEvent(logging::LogLevel::kWarning, "job_outcome_unknown",
                      {{"job", waiting.job},
                       {"code", static_cast<int>(ResultCode::kAppendUnknown)},
                       {"awaits", AwaitedPart(waiting)},
                       {"answers", target.asker},
                       {"owner", awaits_owner ? waiting.asked_owner : hooks_.owner()},
                       {"view_age_ms", view_.Age().count()},
                       {"config_version", operators_.config()->version}});
  }

 private:
  // Limits logging under load: it runs on the decision thread, and more of it would delay the
  // decisions.
  static constexpr std::uint32_t kMaxLinesPerSecond = 20;

  [[nodiscard]] workload::Milliseconds AgeOf(const JobRemoval& removal) const {
    return std::chrono::duration_cast<workload::Milliseconds>(port_.Now() - removal.at);
  }

  // The part of the system whose answer would settle the outcome.
  static const char* AwaitedPart(const WaitingRecord& waiting) {
    if (!waiting.asked_owner.empty() && !waiting.is_owner_healthy) {
      return "owner";
    }
    return waiting.is_refused_here ? "peer" : "store";
  }

  Port& port_;
  const OperatorView& operators_;
  const CallerHooks& hooks_;
  const JobsView<Port> view_;
  logging::EventBudget refusal_budget_{kMaxLinesPerSecond};
  logging::EventBudget unauthorized_budget_{kMaxLinesPerSecond};
  logging::EventBudget not_found_budget_{kMaxLinesPerSecond};
};

}  // namespace clementineloom::entry
