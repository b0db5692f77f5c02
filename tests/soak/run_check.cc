#include "soak/run_check.h"

#include <sstream>

#include "soak/task_name.h"

namespace clementineloom::soak {
namespace {

using standin::RunEvent;
using standin::RunEventKind;

// Time after which every instance knows what one of them has been told or has shown.
constexpr std::int64_t kVisibleMs = 1'000;

std::string Describe(const RunEvent& event) {
  std::ostringstream text;
  text << "task " << event.task << " run " << event.run << " on " << event.worker << " at "
       << event.at_ms << " ms" << (event.is_late ? " (order carried out late)" : "");
  return text.str();
}

}  // namespace

std::vector<Violation> RunCheck::Check(const std::vector<RunEvent>& events) {
  for (const RunEvent& it : events) {
    switch (it.kind) {
      case RunEventKind::kStarted:
        CheckStart(it);
        active_[it.task].insert({it.worker, it.run});
        last_starts_[it.task] = it;
        break;
      case RunEventKind::kEnded:
        ended_at_[it.task][it.run] = it.at_ms;
        [[fallthrough]];
      case RunEventKind::kForgotten:
        active_[it.task].erase({it.worker, it.run});
        break;
      case RunEventKind::kAcknowledged:
        CheckAcknowledged(it);
        break;
    }
  }
  return violations_;
}

void RunCheck::CheckAcknowledged(const RunEvent& event) {
  if (event.how != "done" || event.has_lapsed) {
    return;
  }
  acknowledged_.emplace(event.task, event.at_ms);
  const auto last = last_starts_.find(event.task);
  if (last != last_starts_.end() && last->second.at_ms > ended_at_[event.task][event.run]) {
    Add("TWICE", last->second,
        "after run " + std::to_string(event.run) + " had ended as done, acknowledged at " +
            std::to_string(event.at_ms) + " ms");
  }
}

void RunCheck::CheckStart(const RunEvent& event) {
  for (const auto& [worker, run] : active_[event.task]) {
    if (worker != event.worker || run != event.run) {
      Add("TWICE", event, "while run " + std::to_string(run) + " is in progress on " + worker);
    }
  }
  if (refused_.contains(JobOfTask(event.task))) {
    Add("REFUSED", event, "of a job all of whose submissions were refused");
  }
  CheckEndedBefore(event);
}

void RunCheck::CheckEndedBefore(const RunEvent& event) {
  const auto acknowledged = acknowledged_.find(event.task);
  if (acknowledged != acknowledged_.end()) {
    Add("TWICE", event,
        "after its end as done was acknowledged at " + std::to_string(acknowledged->second) +
            " ms");
  }
  const auto shown = shown_completed_.find(JobOfTask(event.task));
  if (shown != shown_completed_.end() && event.at_ms > shown->second + kVisibleMs &&
      !event.is_late) {
    Add("TWICE", event,
        "after its job was shown as completed at " + std::to_string(shown->second) + " ms");
  }
}

void RunCheck::Add(const std::string& rule, const RunEvent& event, const std::string& what) {
  violations_.push_back({rule, Describe(event) + " started " + what});
}

}  // namespace clementineloom::soak
