#include "scheduler/proposal_pacer.h"

#include <utility>

#include "scheduler/proposal_subject.h"

namespace clementineloom::scheduler {

std::vector<RecordBody> ProposalPacer::Due(std::vector<RecordBody> decided, std::size_t rank,
                                           MonotonicTime now) {
  if (rank == 0) {
    first_seen_.clear();
    return decided;
  }
  const auto delay = rank_delay_ * static_cast<std::int64_t>(rank);
  std::map<std::string, MonotonicTime> seen;
  std::vector<RecordBody> due;
  for (RecordBody& it : decided) {
    const std::string subject = SubjectOf(it);
    const auto known = first_seen_.find(subject);
    const MonotonicTime since = known == first_seen_.end() ? now : known->second;
    seen.emplace(subject, since);
    if (now - since >= delay) {
      due.push_back(std::move(it));
    }
  }
  first_seen_ = std::move(seen);
  return due;
}

}  // namespace clementineloom::scheduler
