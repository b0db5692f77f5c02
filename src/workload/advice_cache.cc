#include "clementineloom/workload/advice_cache.h"

#include <algorithm>

namespace clementineloom::workload {
namespace {

// Pause of a step after one question without answer; each further one doubles it. Short enough for
// a step whose first answer is lost to begin within 3 s, the last well below that time.
constexpr Milliseconds kFirstPause{250};
constexpr std::uint32_t kMaxDoublings = 3;

}  // namespace

void AdviceCache::NoteAsked(const StepId& step, const std::vector<std::string>& workers) {
  steps_[step].asked.insert(workers.begin(), workers.end());
}

void AdviceCache::Add(const StepId& step, const std::vector<Advice>& approved) {
  const auto entry = steps_.find(step);
  if (entry == steps_.end()) {
    return;
  }
  for (const Advice& it : approved) {
    entry->second.asked.insert(it.worker);
    entry->second.approved.insert_or_assign(it.worker, it);
  }
}

void AdviceCache::NoteAnswered(const StepId& step, SteadyTime now) {
  const auto entry = steps_.find(step);
  if (entry != steps_.end()) {
    entry->second.last_question_at = now;
    entry->second.unanswered = 0;
  }
}

void AdviceCache::NoteUnanswered(const StepId& step, const std::vector<std::string>& workers,
                                 SteadyTime now) {
  const auto entry = steps_.find(step);
  if (entry == steps_.end()) {
    return;
  }
  for (const std::string& it : workers) {
    entry->second.asked.erase(it);
  }
  entry->second.last_question_at = now;
  ++entry->second.unanswered;
}

void AdviceCache::DropWorker(const std::string& worker) {
  for (auto& [step, advice] : steps_) {
    advice.asked.erase(worker);
    advice.approved.erase(worker);
  }
}

void AdviceCache::DropJob(const std::string& job) {
  std::erase_if(steps_, [&job](const auto& it) { return it.first.job == job; });
}

bool AdviceCache::WasAsked(const StepId& step, const std::string& worker) const {
  const auto entry = steps_.find(step);
  return entry != steps_.end() && entry->second.asked.contains(worker);
}

std::size_t AdviceCache::AskedCount(const StepId& step) const {
  const auto entry = steps_.find(step);
  return entry == steps_.end() ? 0 : entry->second.asked.size();
}

bool AdviceCache::MayAsk(const StepId& step, SteadyTime now) const {
  const auto entry = steps_.find(step);
  if (entry == steps_.end() || entry->second.unanswered == 0) {
    return true;
  }
  const std::uint32_t doublings = std::min(entry->second.unanswered - 1, kMaxDoublings);
  return now >= *entry->second.last_question_at + kFirstPause * (1U << doublings);
}

std::optional<SteadyTime> AdviceCache::LastQuestionAt(const StepId& step) const {
  const auto entry = steps_.find(step);
  return entry == steps_.end() ? std::nullopt : entry->second.last_question_at;
}

std::string AdviceCache::Ticket(const StepId& step, const std::string& worker,
                                SteadyTime now) const {
  const auto entry = steps_.find(step);
  if (entry == steps_.end()) {
    return {};
  }
  const auto it = entry->second.approved.find(worker);
  const bool is_valid = it != entry->second.approved.end() && now < it->second.valid_until;
  return is_valid ? it->second.ticket : std::string();
}

void AdviceCache::Expire(SteadyTime now) {
  for (auto& [step, advice] : steps_) {
    for (auto it = advice.approved.begin(); it != advice.approved.end();) {
      if (now < it->second.valid_until) {
        ++it;
        continue;
      }
      advice.asked.erase(it->first);
      it = advice.approved.erase(it);
    }
  }
}

void AdviceCache::Reject(const StepId& step, const std::string& worker) {
  const auto entry = steps_.find(step);
  if (entry != steps_.end()) {
    entry->second.approved.erase(worker);
    entry->second.asked.erase(worker);
  }
}

}  // namespace clementineloom::workload
