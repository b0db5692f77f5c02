#include "scheduler/operator/plan_text.h"

#include <string_view>

namespace clementineloom::scheduler {
namespace {

// Limits the text; the other fields of the answer hold the full plan.
constexpr std::size_t kMaxLines = 50;

std::string_view Verb(PlanAction action) {
  switch (action) {
    case PlanAction::kStart:
      return "starts";
    case PlanAction::kMove:
      return "moves";
    case PlanAction::kWait:
      return "waits";
    case PlanAction::kRefuse:
      break;
  }
  return "is refused";
}

std::string LineOf(const PlanStep& step) {
  return "job " + std::to_string(step.job.value()) + " of " + step.team + " " +
         std::string(Verb(step.action)) + ": " + step.reason;
}

std::string LineOf(const GuaranteeRisk& risk) {
  return "at risk: " + std::to_string(risk.shapes) + " of guarantee " +
         std::to_string(risk.guarantee_index) + " of " + risk.team;
}

}  // namespace

std::string PlanText(const Plan& plan) {
  std::string text;
  for (const GuaranteeRisk& it : plan.risks()) {
    text += LineOf(it) + "\n";
  }
  std::size_t lines = 0;
  for (const PlanStep& it : plan.steps()) {
    if (++lines > kMaxLines) {
      text += std::to_string(plan.steps().size() - kMaxLines) + " more jobs are concerned\n";
      break;
    }
    text += LineOf(it) + "\n";
  }
  if (plan.steps().empty()) {
    text += "no job is concerned\n";
  }
  if (!plan.is_complete()) {
    text += "the plan is too large to be worked out to its end\n";
  }
  text.pop_back();
  return text;
}

}  // namespace clementineloom::scheduler
