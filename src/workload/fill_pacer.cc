#include "clementineloom/workload/fill_pacer.h"

#include <algorithm>

namespace clementineloom::workload {
namespace {

constexpr std::uint32_t kWhole = 100;
// Shares of a target: above the first a tail is too close to it, below the second there is room.
constexpr std::int64_t kHighPercent = 85;
constexpr std::int64_t kLowPercent = 65;
// A report covers the last half second, and a worker takes up to 100 ms to follow a pace.
constexpr Milliseconds kSettleTime{650};
// A pace this low is not worth halving: the runs pause instead.
constexpr std::uint32_t kLowestPace = 15;
constexpr std::uint32_t kLargeStep = 20;
constexpr std::uint32_t kSmallStep = 4;
// An owner that takes over does not know the paces of its predecessor.
constexpr std::uint32_t kPaceAfterTakeover = 50;

// The highest tail, in percent of its target.
std::int64_t WorstTail(const std::vector<ServiceLoad>& services) {
  std::int64_t worst = 0;
  for (const ServiceLoad& it : services) {
    worst = std::max(worst, it.tail_ms * kWhole / it.target_ms);
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
  const std::int64_t worst = WorstTail(services);
  bool is_over_at_a_stop = false;
  std::uint32_t percent = kWhole;
  if (services.empty()) {
    paces_.erase(worker);
  } else {
    Pace& pace = paces_.try_emplace(worker, FirstPace(fills, now)).first->second;
    if (now - pace.changed_at >= kSettleTime) {
      const std::uint32_t before = pace.percent;
      if (worst > kHighPercent) {
        Lower(pace, worst > kWhole, fills);
      } else if (worst < kLowPercent) {
        Raise(pace);
      }
      if (pace.percent != before) {
        pace.changed_at = now;
      }
    }
    percent = pace.percent;
    // An order of before may have been carried out late.
    is_over_at_a_stop = percent == 0 && worst > kWhole;
  }
  std::vector<PaceChange> changes;
  for (const FillRun& it : fills) {
    if (it.pace_percent != percent || is_over_at_a_stop) {
      changes.push_back({it.run, percent});
    }
  }
  return changes;
}

FillPacer::Pace FillPacer::FirstPace(const std::vector<FillRun>& fills, SteadyTime now) const {
  Pace pace;
  for (const FillRun& it : fills) {
    const auto known = first_percent_.find(it.image);
    if (known != first_percent_.end()) {
      pace.percent = std::min(pace.percent, known->second);
    }
    if (!it.pace_percent) {
      pace.percent = std::min(pace.percent, kPaceAfterTakeover);
    }
  }
  // A pace of 100 is judged by the first report, another one once it has taken effect.
  pace.changed_at = pace.percent == kWhole ? now - kSettleTime : now;
  return pace;
}

void FillPacer::Lower(Pace& pace, bool is_over_target, const std::vector<FillRun>& fills) {
  pace.too_much_percent = pace.percent;
  // Beyond the target the time for the next look is short.
  const std::uint32_t lowered = is_over_target ? pace.percent / 4 : pace.percent / 2;
  pace.percent = lowered < kLowestPace ? 0 : lowered;
  for (const FillRun& it : fills) {
    first_percent_[it.image] = std::max(lowered, kLowestPace);
  }
}

void FillPacer::Raise(Pace& pace) {
  const bool is_near = pace.percent + kLargeStep >= pace.too_much_percent;
  pace.percent = std::min(kWhole, pace.percent + (is_near ? kSmallStep : kLargeStep));
  pace.too_much_percent = std::max(pace.too_much_percent, pace.percent);
}

}  // namespace clementineloom::workload
