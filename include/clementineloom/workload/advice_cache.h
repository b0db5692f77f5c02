#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "clementineloom/workload/advice.h"
#include "clementineloom/workload/step_id.h"

namespace clementineloom::workload {

/// @brief Cache of the advice service's answers, by step.
///
/// An approval does not change while its ticket is valid, so a worker is asked about once per
/// ticket.
/// Thread safety: none; use from one thread.
class AdviceCache {
 public:
  /// @brief Notes that workers were asked about, so that they are not asked about again.
  void NoteAsked(const StepId& step, const std::vector<std::string>& workers);

  /// @brief Notes that the last question of a step was answered.
  void NoteAnswered(const StepId& step, SteadyTime now);

  /// @brief Lets workers be asked about again, after a question that got no answer in time. The
  /// step may ask again after a pause, which grows with the number of such questions in a row.
  void NoteUnanswered(const StepId& step, const std::vector<std::string>& workers, SteadyTime now);

  /// @brief Stores an answer, unless the step was removed after its question.
  void Add(const StepId& step, const std::vector<Advice>& approved);

  /// @brief Forgets all about a worker that has restarted: it holds to no ticket from before, and
  /// steps that were not approved on it may be now, since it may be of another kind.
  void DropWorker(const std::string& worker);

  /// @brief Removes all steps of a job.
  void DropJob(const std::string& job);

  /// @brief Whether a worker was asked about and its answer has not expired.
  [[nodiscard]] bool WasAsked(const StepId& step, const std::string& worker) const;

  /// @brief Number of workers that count as asked about for a step.
  [[nodiscard]] std::size_t AskedCount(const StepId& step) const;

  /// @brief Whether the pause of a step after a question without answer is over.
  [[nodiscard]] bool MayAsk(const StepId& step, SteadyTime now) const;

  /// @brief When the last question of a step was answered or given up; nothing without one.
  [[nodiscard]] std::optional<SteadyTime> LastQuestionAt(const StepId& step) const;

  /// @brief The ticket for a step on a worker, or empty if it is not approved or has expired.
  [[nodiscard]] std::string Ticket(const StepId& step, const std::string& worker,
                                   SteadyTime now) const;

  /// @brief Removes expired tickets, so that their workers are asked about again.
  void Expire(SteadyTime now);

  /// @brief Removes a ticket that its worker refused, so that the worker is asked about again.
  void Reject(const StepId& step, const std::string& worker);

 private:
  struct StepAdvice {
    std::set<std::string> asked;
    std::map<std::string, Advice> approved;
    std::optional<SteadyTime> last_question_at;
    // Questions in a row without an answer in time.
    std::uint32_t unanswered = 0;
  };

  std::map<StepId, StepAdvice> steps_;
};

}  // namespace clementineloom::workload
