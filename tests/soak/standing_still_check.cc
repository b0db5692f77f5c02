#include "soak/standing_still_check.h"

#include <algorithm>
#include <sstream>

namespace clementineloom::soak {
namespace {

using workload::Resources;

// Time after which a job that could run stands still, from the rule.
constexpr std::int64_t kStillMs = 3'000;

std::string TextOf(const Resources& resources) {
  return std::to_string(resources.cpu_millicores) + " millicores, " +
         std::to_string(resources.memory_mb) + " MB, " + std::to_string(resources.accelerators) +
         " accelerators";
}

}  // namespace

std::vector<Violation> StandingStillCheck::Check(const std::vector<standin::RunEvent>& events) {
  std::int64_t at_ms = 0;
  for (const standin::RunEvent& it : events) {
    Pass(at_ms, it.at_ms);
    use_.Apply(it);
    at_ms = it.at_ms;
  }
  Pass(at_ms, window_.to_ms);
  for (const auto& [job, times] : jobs_) {
    End(job);
  }
  return violations_;
}

void StandingStillCheck::Pass(std::int64_t from_ms, std::int64_t to_ms) {
  from_ms = std::max(from_ms, window_.from_ms);
  to_ms = std::min(to_ms, window_.to_ms);
  if (from_ms >= to_ms) {
    return;
  }
  for (const auto& [job, times] : jobs_) {
    if (!times.cancel_sent_ms && times.accepted_ms < to_ms) {
      PassJob(job, std::max(from_ms, times.accepted_ms), to_ms);
    }
  }
}

void StandingStillCheck::PassJob(const std::string& job, std::int64_t from_ms, std::int64_t to_ms) {
  const auto still = StillAt(job, from_ms);
  const auto known = spans_.find(job);
  if (!still || (known != spans_.end() && known->second.step != still->step)) {
    End(job);
  }
  if (still) {
    StillSpan& span = spans_.try_emplace(job, *still).first->second;
    span.min_fit = std::min(span.min_fit, still->min_fit);
    span.to_ms = to_ms;
  }
}

std::optional<StillSpan> StandingStillCheck::StillAt(const std::string& job,
                                                     std::int64_t from_ms) const {
  if (use_.IsRunning(job) || !use_.IsUnderHalf() || causes_.HasCause(job, from_ms)) {
    return std::nullopt;
  }
  const auto& steps = shapes_.at(job).steps;
  for (std::size_t n = 0; n < steps.size(); ++n) {
    const std::size_t open = use_.OpenTasks(job, n);
    const std::size_t fit = open == 0 ? 0 : use_.FitCount(steps[n]);
    if (open > 0 && fit >= 2 * open) {
      return StillSpan{n, open, from_ms, from_ms, fit, use_.used()};
    }
  }
  return std::nullopt;
}

void StandingStillCheck::End(const std::string& job) {
  const auto it = spans_.find(job);
  if (it == spans_.end()) {
    return;
  }
  if (it->second.to_ms - it->second.from_ms >= kStillMs) {
    violations_.push_back({"LOST", Describe(job, it->second)});
  }
  spans_.erase(it);
}

std::string StandingStillCheck::Describe(const std::string& job, const StillSpan& span) const {
  const StepShape& step = shapes_.at(job).steps.at(span.step);
  std::ostringstream text;
  text << "job " << job << " accepted at " << jobs_.at(job).accepted_ms << " ms stands still from "
       << span.from_ms << " to " << span.to_ms << " ms (" << span.to_ms - span.from_ms
       << " ms; traffic ended at " << window_.traffic_end_ms << " ms): step " << span.step
       << (step.is_gang ? ", a gang" : "") << ", " << span.open << " open tasks of "
       << TextOf(step.task) << ", label \"" << step.required_label << "\"; room for "
       << span.min_fit << " or more; in use " << TextOf(span.used) << " of "
       << TextOf(use_.total());
  return text.str();
}

}  // namespace clementineloom::soak
