#include "soak/fault_plan.h"

#include <algorithm>
#include <random>

namespace clementineloom::soak {
namespace {

constexpr std::int64_t kShortestGapMs = 500;
constexpr std::int64_t kLongestGapMs = 2'500;

std::int64_t Between(std::mt19937_64& random, std::int64_t first, std::int64_t last) {
  return first + static_cast<std::int64_t>(random() % static_cast<std::uint64_t>(last - first + 1));
}

std::int64_t DurationOf(FaultKind kind, std::mt19937_64& random) {
  switch (kind) {
    case FaultKind::kFreeze:
    case FaultKind::kHistoryForgotten:
      return Between(random, 300, 5'300);
    case FaultKind::kTerminate:
    case FaultKind::kTerminateTwo:
    case FaultKind::kRollingRestart:
    case FaultKind::kKill:
    case FaultKind::kKillOwner:
    case FaultKind::kKillAll:
      // Time until the restart.
      return Between(random, 50, 1'500);
    case FaultKind::kPowerOffAll:
      return Between(random, 1'000, 4'000);
    case FaultKind::kWorkerCrash:
    case FaultKind::kWorkerMute:
    case FaultKind::kWorkerFails:
    case FaultKind::kWorkerLate:
      return Between(random, 500, 7'000);
    default:
      return Between(random, 200, 3'500);
  }
}

}  // namespace

FaultPlan FaultPlan::Make(std::uint64_t seed, std::chrono::seconds length,
                          const std::set<FaultKind>& kinds) {
  FaultPlan plan;
  std::vector<FaultKind> choices(kinds.begin(), kinds.end());
  std::erase(choices, FaultKind::kPowerOffAll);
  std::mt19937_64 random(seed);
  const std::int64_t end_ms = std::chrono::milliseconds(length).count();
  for (std::int64_t at = Between(random, kShortestGapMs, kLongestGapMs);
       at < end_ms && !choices.empty(); at += Between(random, kShortestGapMs, kLongestGapMs)) {
    const FaultKind kind = choices[random() % choices.size()];
    const auto target = static_cast<std::size_t>(random() >> 1);
    plan.faults_.push_back({at, kind, target, DurationOf(kind, random)});
  }
  if (kinds.contains(FaultKind::kPowerOffAll)) {
    constexpr FaultKind kKind = FaultKind::kPowerOffAll;
    plan.faults_.push_back({end_ms / 2, kKind, 0, DurationOf(kKind, random)});
    std::ranges::stable_sort(plan.faults_, {}, &PlannedFault::at_ms);
  }
  return plan;
}

}  // namespace clementineloom::soak
