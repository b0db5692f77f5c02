#include "support/run_observer.h"

#include <algorithm>

#include "support/fragmentation.h"

namespace clementineloom::bench {
namespace {

constexpr std::uint16_t kAcceleratorsPerWorker = 8;

double Share(double part, double whole) { return whole > 0 ? part / whole : 0; }

bool IsWholeClusterInService(const ClusterState& state) {
  for (std::uint32_t n = 0; n < state.workers().size(); ++n) {
    if (!state.IsPlaceable(WorkerId(n))) {
      return false;
    }
  }
  return true;
}

}  // namespace

void RunObserver::AddEvent(const ClusterState& state) {
  figures_.broken_by_event += BecomesUnreclaimable(check_.Check(state)) ? 1 : 0;
}

void RunObserver::AddDecision(const ClusterState& state) {
  figures_.broken_by_placement += BecomesUnreclaimable(check_.Check(state)) ? 1 : 0;
}

void RunObserver::AddState(const ClusterState& state, Instant now) {
  Accumulate(now);
  last_ = Measure(state);
  AddDecision(state);
  CountResult(state);
}

RunFigures RunObserver::Figures() const {
  RunFigures figures = figures_;
  std::vector<Duration> all;
  for (std::size_t n = 0; n < kSizeClasses; ++n) {
    figures.by_size[n] = CompletionFigures::Of(times_[n]);
    all.insert(all.end(), times_[n].begin(), times_[n].end());
  }
  figures.all = CompletionFigures::Of(std::move(all));
  figures.fragmentation = Share(sums_.unusable, sums_.free);
  figures.worker_fragmentation = Share(sums_.fragmented, sums_.free);
  figures.stranded_capacity = Share(sums_.unusable, sums_.capacity);
  figures.largest_placeable = Share(sums_.largest_placeable, waiting_time_);
  return figures;
}

void RunObserver::Accumulate(Instant now) {
  const auto held = static_cast<double>((now - last_at_).count());
  last_at_ = now;
  if (!last_.has_waiting) {
    return;
  }
  waiting_time_ += held;
  sums_.free += held * last_.free;
  sums_.unusable += held * last_.unusable;
  sums_.fragmented += held * last_.fragmented;
  sums_.capacity += held * last_.capacity;
  sums_.largest_placeable += held * last_.largest_placeable;
}

void RunObserver::CountResult(const ClusterState& state) {
  ++figures_.reclaim_checks;
  if (last_result_ == PackingResult::kUndecided) {
    ++figures_.reclaim_undecided;
  } else if (last_result_ == PackingResult::kDoesNotFit && IsWholeClusterInService(state)) {
    ++figures_.unreclaimable;
  } else if (last_result_ == PackingResult::kDoesNotFit) {
    ++figures_.unreclaimable_reduced;
  }
}

bool RunObserver::BecomesUnreclaimable(PackingResult result) {
  const bool becomes_unreclaimable =
      last_result_ == PackingResult::kFits && result == PackingResult::kDoesNotFit;
  last_result_ = result;
  return becomes_unreclaimable;
}

RunObserver::Sample RunObserver::Measure(const ClusterState& state) {
  const auto shape = LargestWaitingShape(state);
  if (!shape) {
    return {};
  }
  const FreeMap free = FreeMap::OfState(state);
  return {
      .has_waiting = true,
      .free = static_cast<double>(free.total()),
      .unusable = static_cast<double>(free.total() - UsableAccelerators(free, *shape)),
      .fragmented = static_cast<double>(FragmentedAccelerators(free, *shape)),
      .capacity = static_cast<double>(FreeMap::OfEmptyState(state).total()),
      .largest_placeable = static_cast<double>(LargestPlaceableGang(free, kAcceleratorsPerWorker))};
}

}  // namespace clementineloom::bench
