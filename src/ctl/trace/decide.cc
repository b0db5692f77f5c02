#include "ctl/trace/decide.h"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <concepts>
#include <cstdint>
#include <optional>
#include <string_view>

#include "clementineloom/workload/end_reason.h"
#include "clementineloom/workload/job_state.h"
#include "ctl/trace/line_cause.h"
#include "ctl/trace/timeline_search.h"

namespace clementineloom::ctl::trace {
namespace {

using Index = std::optional<std::size_t>;
using Timeline = std::span<const TimelineLine>;
using workload::EndReason;
using workload::JobState;

// A first start after this time counts as late; the owner logs guaranteed_step_waits after as long.
constexpr std::int64_t kLongWaitMs = 1'000;
// The owner logs the ends of lost runs together with their loss.
constexpr std::chrono::seconds kLossToEnds{1};

std::int64_t Number(const LogLine& line, std::string_view key) {
  const std::string_view text = line.Field(key);
  std::int64_t number = -1;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

bool IsOwn(const TimelineLine& it, std::string_view event) {
  return it.names_job && it.line.event == event;
}

bool HasReason(const LogLine& line, EndReason reason) {
  return Number(line, "reason") == static_cast<std::int64_t>(reason);
}

bool IsJobEnd(const TimelineLine& it, JobState state) {
  return IsOwn(it, "job_ended") && Number(it.line, "state") == static_cast<std::int64_t>(state);
}

bool IsOutcomeUnknown(const TimelineLine& it) {
  return IsOwn(it, "job_outcome_unknown") ||
         (IsOwn(it, "request_refused") && it.line.Field("run_state") == "may_have_run");
}

bool IsRefusal(const TimelineLine& it) {
  return IsOwn(it, "request_unauthorized") ||
         (IsOwn(it, "request_refused") && it.line.Field("run_state") == "did_not_run");
}

// Whether the line is about an answer to another instance, which then decides what to tell the
// caller.
bool AnswersPeer(const TimelineLine& it) { return it.line.Field("answers") == "peer"; }

// Whether a caller was told that its request is recorded.
bool IsSuccess(const TimelineLine& it) {
  const bool is_record = IsOwn(it, "job_accepted") || IsOwn(it, "job_cancelled") ||
                         IsOwn(it, "request_already_recorded");
  return IsOwn(it, "job_recorded_by_owner") ||
         (IsOwn(it, "peer_answered_request") && it.line.Field("status") == "200") ||
         (is_record && it.line.Field("answers") == "caller");
}

// Whether the line shows that the job is recorded.
bool ShowsRecord(const TimelineLine& it) {
  return IsSuccess(it) || IsOwn(it, "job_accepted") || IsOwn(it, "request_already_recorded") ||
         IsOwn(it, "job_started") || IsOwn(it, "step_started") || IsOwn(it, "job_ended") ||
         (it.names_job && !it.line.Field("task").empty());
}

// The decisions about one job.
class Decider {
 public:
  explicit Decider(Timeline timeline) : timeline_(timeline), end_(FindEnd()) {}

  [[nodiscard]] Verdict Run() const {
    if (const Index failure = LastEnd(JobState::kFailed)) {
      return Make(TraceOutcome::kFailed, FailureOf(*failure));
    }
    if (const Index cancellation = LastEnd(JobState::kCancelled)) {
      const Index request = LastOwn("job_cancelled");
      return Make(TraceOutcome::kCancelled, request.value_or(*cancellation));
    }
    if (const Index unknown = UnansweredRequest()) {
      return Make(TraceOutcome::kOutcomeUnknown, *unknown);
    }
    if (const Index refusal = LastAnswer(IsRefusal);
        refusal && std::ranges::none_of(timeline_, ShowsRecord)) {
      return Make(TraceOutcome::kRefused, *refusal);
    }
    if (const Index wait = OpenWait()) {
      return Make(TraceOutcome::kOpen, *wait);
    }
    if (const Index delay = Delay()) {
      return Make(TraceOutcome::kDelayed, *delay);
    }
    if (const Index completion = LastEnd(JobState::kCompleted)) {
      return {TraceOutcome::kCompleted, *completion, "the job ended without trouble"};
    }
    return Make(TraceOutcome::kOpen, LastOwnLine());
  }

 private:
  [[nodiscard]] Verdict Make(TraceOutcome outcome, std::size_t line) const {
    return {outcome, line, LineCause(timeline_, line)};
  }

  // Index after the last line in front of the job's end: stops that follow it are no trouble.
  [[nodiscard]] std::size_t FindEnd() const {
    return LastOwn("job_ended").value_or(timeline_.size());
  }

  [[nodiscard]] Index LastOwn(std::string_view event) const {
    return FindLastBefore(timeline_, timeline_.size(),
                          [&](const TimelineLine& it) { return IsOwn(it, event); });
  }

  [[nodiscard]] std::size_t LastOwnLine() const {
    const Index last = FindLastBefore(timeline_, timeline_.size(),
                                      [](const TimelineLine& it) { return it.names_job; });
    return last.value_or(0);
  }

  // The last end of the job, if it has the state.
  [[nodiscard]] Index LastEnd(JobState state) const {
    const Index last = LastOwn("job_ended");
    return last && IsJobEnd(timeline_[*last], state) ? last : std::nullopt;
  }

  // The line that decided about a failed job: the last failed run, or the last other trouble.
  [[nodiscard]] std::size_t FailureOf(std::size_t failure) const {
    const Index run = FindLastBefore(timeline_, failure, [](const TimelineLine& it) {
      return IsOwn(it, "run_ended") && HasReason(it.line, EndReason::kFailed);
    });
    return run ? *run : Delay().value_or(failure);
  }

  // The last line that fulfils a condition about an answer to the caller, or else to a peer.
  template <std::predicate<const TimelineLine&> Condition>
  [[nodiscard]] Index LastAnswer(Condition condition) const {
    const Index answer = FindLastBefore(timeline_, timeline_.size(), [&](const TimelineLine& it) {
      return condition(it) && !AnswersPeer(it);
    });
    return answer ? answer : FindLastBefore(timeline_, timeline_.size(), condition);
  }

  // A request that was answered with an unknown outcome, unless a later one succeeded.
  [[nodiscard]] Index UnansweredRequest() const {
    const Index refusal = LastAnswer(IsOutcomeUnknown);
    if (!refusal || FindFirstAfter(timeline_, *refusal, IsSuccess)) {
      return std::nullopt;
    }
    // Its first line names what it waited for; the refusal follows on the same instance.
    const Index reason = FindLastBefore(timeline_, *refusal + 1, [&](const TimelineLine& it) {
      return IsOwn(it, "job_outcome_unknown") &&
             it.line.instance == timeline_[*refusal].line.instance;
    });
    return reason ? reason : refusal;
  }

  // The last wait of a step of a job that has not ended, unless a run began after it.
  [[nodiscard]] Index OpenWait() const {
    const Index wait = LastOwn("step_waits");
    const bool is_over = LastOwn("job_ended") ||
                         (wait && FindFirstAfter(timeline_, *wait, [](const TimelineLine& it) {
                            return IsOwn(it, "job_started") || IsOwn(it, "step_started") ||
                                   IsOwn(it, "task_run_again");
                          }));
    return is_over ? std::nullopt : wait;
  }

  [[nodiscard]] Index Delay() const {
    const Index run = FindLastBefore(timeline_, end_, [](const TimelineLine& it) {
      return IsOwn(it, "run_ended") && !HasReason(it.line, EndReason::kDone);
    });
    if (run) {
      return CauseOfEnd(*run);
    }
    const Index wait = FindLastBefore(timeline_, end_, [](const TimelineLine& it) {
      return IsOwn(it, "job_started") && Number(it.line, "waited_ms") > kLongWaitMs;
    });
    if (const Index guarantee = LastOwn("guaranteed_step_waits")) {
      return guarantee;
    }
    if (const Index step = LastOwn("step_waits")) {
      return step;
    }
    if (wait) {
      return CauseOfWait(*wait);
    }
    const bool has_ended = LastOwn("job_ended").has_value();
    const Index start = FindLastBefore(timeline_, end_, [](const TimelineLine& it) {
      return IsOwn(it, "start_refused") || IsOwn(it, "start_called_off");
    });
    return has_ended ? std::nullopt : start;
  }

  // The takeover that a late start waited for, or the start itself.
  [[nodiscard]] std::size_t CauseOfWait(std::size_t start) const {
    const LogLine& line = timeline_[start].line;
    const auto due = line.time - std::chrono::milliseconds(Number(line, "waited_ms"));
    const Index takeover = FindLastBefore(timeline_, start, [&](const TimelineLine& it) {
      return it.line.event == "ownership_taken" && it.line.time >= due &&
             it.line.Field("epoch") == line.Field("epoch");
    });
    return takeover.value_or(start);
  }

  // The line that made a run end, or the end itself.
  [[nodiscard]] std::size_t CauseOfEnd(std::size_t end) const {
    const LogLine& line = timeline_[end].line;
    if (HasReason(line, EndReason::kStopped)) {
      return CauseOfStop(end).value_or(end);
    }
    if (HasReason(line, EndReason::kLapsed)) {
      return CauseOfLapse(end).value_or(end);
    }
    if (HasReason(line, EndReason::kGangBroken) || HasReason(line, EndReason::kGangIncomplete)) {
      return CauseOfGangEnd(end);
    }
    return end;
  }

  [[nodiscard]] Index CauseOfStop(std::size_t end) const {
    const LogLine& line = timeline_[end].line;
    return FindLastBefore(timeline_, end, [&](const TimelineLine& it) {
      const bool is_stop = it.line.event == "run_preempted" || it.line.event == "run_stalled" ||
                           it.line.event == "run_moved";
      return is_stop && it.line.Field("task") == line.Field("task") &&
             it.line.Field("run") == line.Field("run");
    });
  }

  [[nodiscard]] Index CauseOfLapse(std::size_t end) const {
    const LogLine& line = timeline_[end].line;
    const auto is_of_worker = [&](const TimelineLine& it) {
      return it.line.Field("worker") == line.Field("worker");
    };
    const Index loss = FindLastBefore(timeline_, end, [&](const TimelineLine& it) {
      return it.line.event == "runs_lost" && is_of_worker(it) &&
             it.line.instance == line.instance && line.time - it.line.time <= kLossToEnds;
    });
    if (loss) {
      return loss;
    }
    return FindLastBefore(timeline_, end, [&](const TimelineLine& it) {
      return is_of_worker(it) &&
             (it.line.event == "worker_silent" || it.line.event == "worker_unlisted" ||
              it.line.event == "worker_life_began");
    });
  }

  // The end of the member that broke the gang. The ends of the others follow it.
  [[nodiscard]] std::size_t CauseOfGangEnd(std::size_t end) const {
    const Index first = FindLastBefore(timeline_, end, [](const TimelineLine& it) {
      return IsOwn(it, "run_ended") && !HasReason(it.line, EndReason::kGangBroken) &&
             !HasReason(it.line, EndReason::kGangIncomplete);
    });
    return first ? CauseOfEnd(*first) : end;
  }

  Timeline timeline_;
  std::size_t end_;
};

}  // namespace

Verdict Decide(Timeline timeline) { return Decider(timeline).Run(); }

}  // namespace clementineloom::ctl::trace
