#include "recovery/bound_check.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <optional>

namespace clementineloom::bench {
namespace {

using Figure = std::function<std::optional<std::int64_t>(const RecoveryFigures&)>;

std::optional<std::int64_t> WorstOf(const std::vector<RecoveryFigures>& runs,
                                    const Figure& figure) {
  std::int64_t worst = 0;
  for (const RecoveryFigures& it : runs) {
    const auto value = figure(it);
    if (!value) {
      return std::nullopt;
    }
    worst = std::max(worst, *value);
  }
  return worst;
}

void CheckTrouble(const TroubleRuns& result, std::vector<BoundResult>& checked) {
  const RecoveryBounds& bounds = result.trouble.bounds;
  const auto check = [&](const char* name, std::optional<std::int64_t> bound,
                         const Figure& figure) {
    if (bound) {
      checked.push_back({result.trouble.name, name, *bound, WorstOf(result.runs, figure)});
    }
  };
  check("claim_ms", bounds.claim_ms, &RecoveryFigures::claim_ms);
  check("first_start_ms", bounds.first_start_ms, &RecoveryFigures::first_start_ms);
  check("start_gap_ms", bounds.start_gap_ms, &RecoveryFigures::start_gap_ms);
  check("begun_anew", bounds.keeps_runs ? std::optional<std::int64_t>(0) : std::nullopt,
        &RecoveryFigures::begun_anew);
  check("run_twice", 0, &RecoveryFigures::run_twice);
}

}  // namespace

std::vector<BoundResult> CheckBounds(const std::vector<TroubleRuns>& results) {
  std::vector<BoundResult> checked;
  for (const TroubleRuns& it : results) {
    CheckTrouble(it, checked);
  }
  return checked;
}

}  // namespace clementineloom::bench
