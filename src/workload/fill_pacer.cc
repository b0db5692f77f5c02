#include "clementineloom/workload/fill_pacer.h"

#include <algorithm>

namespace clementineloom::workload {
namespace {

constexpr std::uint32_t kFullPercent = 100;
// Percentages of a target: above the first a tail latency is too close to it, below the second the
// pace may rise.
constexpr std::int64_t kHighPercent = 85;
constexpr std::int64_t kLowPercent = 65;
// Time until reports reflect a new pace: a report covers the last half second, and a worker takes
// up to 100 ms to apply a pace.
constexpr Milliseconds kSettleTime{650};
// A pace lower than this is not worth ordering, so the runs pause instead.
constexpr std::uint32_t kMinPace = 15;
constexpr std::uint32_t kLargeStep = 20;
constexpr std::uint32_t kSmallStep = 4;
// An owner that takes over does not know the paces of its predecessor.
constexpr std::uint32_t kPaceAfterTakeover = 50;

// The highest tail latency, in percent of its target.
std::int64_t HighestTailPercent(const std::vector<ServiceLoad>& services) {
  std::int64_t worst = 0;
  for (const ServiceLoad& it : services) {
    worst = std::max(worst, it.tail_ms * kFullPercent / it.target_ms);
  }
  return worst;
}

}  // namespace

std::vector<PaceChange> FillPacer::OnReport(const std::string& worker,
                                            const std::vector<ServiceLoad>& services,
                                            const std::vector<FillRun>& fills, SteadyTime now) {
  if (fills.empty()) {
    paces_.erase(worker);
    return {};
  }
  const std::int64_t worst = HighestTailPercent(services);
  bool is_over_while_stopped = false;
  std::uint32_t percent = kFullPercent;
  if (services.empty()) {
    paces_.erase(worker);
  } else {
    Pace& pace = paces_.try_emplace(worker, InitialPace(fills, now)).first->second;
    if (now - pace.changed_at >= kSettleTime) {
      const std::uint32_t before = pace.percent;
      if (worst > kHighPercent) {
        Lower(pace, worst > kFullPercent, fills);
      } else if (worst < kLowPercent) {
        Raise(pace);
      }
      if (pace.percent != before) {
        pace.changed_at = now;
      }
    }
    percent = pace.percent;
    // An earlier order may have been carried out after the stop.
    is_over_while_stopped = percent == 0 && worst > kFullPercent;
  }
  std::vector<PaceChange> changes;
  for (const FillRun& it : fills) {
    if (it.pace_percent != percent || is_over_while_stopped) {
      changes.push_back({it.run, percent});
    }
  }
  return changes;
}

FillPacer::Pace FillPacer::InitialPace(const std::vector<FillRun>& fills, SteadyTime now) const {
  Pace pace;
  for (const FillRun& it : fills) {
    const auto known = initial_percent_.find(it.image);
    if (known != initial_percent_.end()) {
      pace.percent = std::min(pace.percent, known->second);
    }
    if (!it.pace_percent) {
      pace.percent = std::min(pace.percent, kPaceAfterTakeover);
    }
  }
  // A pace of 100 is judged by the first report, another one once it has taken effect.
  pace.changed_at = pace.percent == kFullPercent ? now - kSettleTime : now;
  return pace;
}

void FillPacer::Lower(Pace& pace, bool is_over_target, const std::vector<FillRun>& fills) {
  pace.too_high_percent = pace.percent;
  // Above the target the pace falls faster, since little time is left for another correction.
  const std::uint32_t lowered = is_over_target ? pace.percent / 4 : pace.percent / 2;
  pace.percent = lowered < kMinPace ? 0 : lowered;
  for (const FillRun& it : fills) {
    initial_percent_[it.image] = std::max(lowered, kMinPace);
  }
}

void FillPacer::Raise(Pace& pace) {
  const bool is_near = pace.percent + kLargeStep >= pace.too_high_percent;
  pace.percent = std::min(kFullPercent, pace.percent + (is_near ? kSmallStep : kLargeStep));
  pace.too_high_percent = std::max(pace.too_high_percent, pace.percent);
}

}  // namespace clementineloom::workload
