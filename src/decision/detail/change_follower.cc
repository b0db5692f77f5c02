#include "clementineloom/decision/detail/change_follower.h"

namespace clementineloom::detail {

bool ChangeFollower::Follow(const ClusterState& state) {
  const ChangeJournal& journal = state.journal();
  jobs_.clear();
  workers_.clear();
  config_changed_ = false;
  const bool is_same_state = followed_ != nullptr && followed_ == journal.identity();
  const bool can_read_on = is_same_state && journal.Holds(next_change_);
  if (can_read_on) {
    ReadChanges(journal);
  } else {
    ReadAll(state);
  }
  SortUnique(jobs_);
  SortUnique(workers_);
  followed_ = journal.identity();
  next_change_ = journal.end();
  return can_read_on;
}

void ChangeFollower::ReadAll(const ClusterState& state) {
  config_changed_ = true;
  jobs_.reserve(state.jobs().size());
  for (const auto& [job, entry] : state.jobs()) {
    jobs_.push_back(job);
  }
  for (std::uint32_t n = 0; n < state.workers().size(); ++n) {
    workers_.emplace_back(n);
  }
}

void ChangeFollower::ReadChanges(const ChangeJournal& journal) {
  for (std::uint64_t n = next_change_; n < journal.end(); ++n) {
    const StateChange& change = journal.at(n);
    if (const auto* worker = std::get_if<WorkerId>(&change)) {
      workers_.push_back(*worker);
    } else if (const auto* job = std::get_if<JobId>(&change)) {
      jobs_.push_back(*job);
    } else {
      config_changed_ = true;
    }
  }
}

}  // namespace clementineloom::detail
