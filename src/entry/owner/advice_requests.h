#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "clementineloom/workload/advice_question.h"
#include "codec/task_name.h"
#include "entry/owner/owner_core.h"

namespace clementineloom::entry {

/// @brief Calls the advice service and stores its answers.
///
/// The service handles one call of this machine at a time, so that the next question waits for the
/// answer to the last one. It waits no longer than the queue's times and a margin: the answer may
/// be lost. An answer that arrives after that still counts.
/// Thread safety: none; use from the thread of the port.
template <class Platform, CallPort Port>
class AdviceRequests {
 public:
  explicit AdviceRequests(OwnerCore<Platform, Port>& core) : core_(core) {}

  /// @brief Whether the next question may be asked now.
  [[nodiscard]] bool MayAsk() const {
    return !core_.options.advice_address.empty() && waiting_for_ == 0 &&
           open_calls_ < kMaxOpenCalls && core_.port.Now() >= paused_until_;
  }

  /// @brief Asks a question. Precondition: MayAsk().
  void Ask(const workload::AdviceQuestion& question) {
    const std::uint64_t call = ++last_call_;
    waiting_for_ = call;
    ++open_calls_;
    core_.advice.NoteAsked(question.step, question.workers);
    core_.port.After(question.answer_time + kAnswerMargin, core_.Guard([this, call, question] {
      if (waiting_for_ == call) {
        LogUnanswered(question, "no answer in time");
        OnUnanswered(question);
      }
    }));
    core_.port.Call(core_.options.advice_address, Platform::AdviceRequest(question),
                    question.answer_time + kMaxLateness,
                    core_.Guard([this, call, question, lives = LivesOf(question.workers)](
                                    const net::ClientResult& result) {
                      --open_calls_;
                      OnResult(call, question, lives, result);
                    }));
  }

 private:
  // Start times of workers' incarnations, by worker.
  using Lives = std::map<std::string, std::int64_t>;

  // For the network, and for a call of an earlier owner on this machine that the service still
  // works on. Leaves the steps behind most of the 3 s for which a job may stand still.
  static constexpr workload::Milliseconds kAnswerMargin{700};
  // How long after its time an answer still counts. Short enough that calls that were lost do not
  // use up the open calls: in this time, fewer questions are given up than calls may be open.
  static constexpr workload::Milliseconds kMaxLateness{10'000};
  // Below the number of waiting calls from which on the service refuses more.
  static constexpr std::size_t kMaxOpenCalls = 16;
  // Pause after a call that the service refused, or that did not reach it.
  static constexpr workload::Milliseconds kRefusalPause{250};

  static_assert(kMaxLateness < kAnswerMargin * static_cast<std::int64_t>(kMaxOpenCalls));

  void OnResult(std::uint64_t call, const workload::AdviceQuestion& question, const Lives& lives,
                const net::ClientResult& result) {
    auto approved = Platform::ParseAdvice(result, core_.port.Now());
    if (approved) {
      // A ticket is for one life of a worker.
      std::erase_if(*approved, [&](const workload::Advice& it) {
        const auto life = lives.find(it.worker);
        return life == lives.end() || life->second != LifeOf(it.worker);
      });
      core_.advice.Add(question.step, *approved);
    }
    if (waiting_for_ == call) {
      if (approved) {
        waiting_for_ = 0;
        core_.advice.NoteAnswered(question.step, core_.port.Now());
      } else {
        paused_until_ = core_.port.Now() + kRefusalPause;
        LogUnanswered(question, result.response ? "refused" : "the call failed");
        OnUnanswered(question);
      }
    }
    core_.schedule_plan();
  }

  // Lets other steps ask, and later the same one again.
  void OnUnanswered(const workload::AdviceQuestion& question) {
    waiting_for_ = 0;
    core_.advice.NoteUnanswered(question.step, question.workers, core_.port.Now());
    core_.schedule_plan();
  }

  void LogUnanswered(const workload::AdviceQuestion& question, std::string_view reason) const {
    logging::LogEvent(logging::LogLevel::kWarning, "advice_unanswered",
                      {{"step", codec::StepName(question.step)},
                       {"workers", question.workers.size()},
                       {"expected_ms", question.answer_time.count()},
                       {"open_calls", open_calls_},
                       {"reason", reason}});
  }

  [[nodiscard]] Lives LivesOf(const std::vector<std::string>& workers) const {
    Lives lives;
    for (const std::string& it : workers) {
      lives.emplace(it, LifeOf(it));
    }
    return lives;
  }

  // Start time of the worker's incarnation; 0 while not known.
  [[nodiscard]] std::int64_t LifeOf(const std::string& worker) const {
    const auto link = core_.links.find(worker);
    return link == core_.links.end() ? 0 : link->second.started_at_ms;
  }

  OwnerCore<Platform, Port>& core_;
  std::uint64_t last_call_ = 0;
  // The call whose answer the next question waits for; 0 for none.
  std::uint64_t waiting_for_ = 0;
  // Calls without a result, also those that no question waits for any more.
  std::size_t open_calls_ = 0;
  workload::SteadyTime paused_until_;
};

}  // namespace clementineloom::entry
