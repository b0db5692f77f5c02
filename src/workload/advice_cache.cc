#include "clementineloom/workload/advice_cache.h"

namespace clementineloom::workload {

void AdviceCache::NoteAsked(const StepId& step, const std::vector<std::string>& workers) {
  steps_[step].asked.insert(workers.begin(), workers.end());
}

void AdviceCache::Add(const StepId& step, const std::vector<Advice>& approved) {
  const auto entry = steps_.find(step);
  if (entry == steps_.end()) {
    return;
  }
  for (const Advice& it : approved) {
    entry->second.approved.insert_or_assign(it.worker, it);
  }
}

void AdviceCache::ForgetAsked(const StepId& step, const std::vector<std::string>& workers) {
  const auto entry = steps_.find(step);
  if (entry == steps_.end()) {
    return;
  }
  for (const std::string& it : workers) {
    entry->second.asked.erase(it);
  }
}

void AdviceCache::DropJob(const std::string& job) {
  std::erase_if(steps_, [&job](const auto& it) { return it.first.job == job; });
}

bool AdviceCache::WasAsked(const StepId& step, const std::string& worker) const {
  const auto entry = steps_.find(step);
  return entry != steps_.end() && entry->second.asked.contains(worker);
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
