#pragma once

#include <map>
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

  /// @brief Stores an answer, unless the step was removed after its question.
  void Add(const StepId& step, const std::vector<Advice>& approved);

  /// @brief Lets workers be asked about again, after a call that got no answer.
  void ForgetAsked(const StepId& step, const std::vector<std::string>& workers);

  /// @brief Removes all steps of a job.
  void DropJob(const std::string& job);

  /// @brief Whether a worker was asked about and its answer has not expired.
  [[nodiscard]] bool WasAsked(const StepId& step, const std::string& worker) const;

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
  };

  std::map<StepId, StepAdvice> steps_;
};

}  // namespace clementineloom::workload
