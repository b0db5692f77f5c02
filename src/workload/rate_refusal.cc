#include "clementineloom/workload/rate_refusal.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <string>

#include "clementineloom/workload/expected_wait.h"

namespace clementineloom::workload {
namespace {

constexpr std::chrono::seconds kMinRetryAfter{1};
// Beyond that, the forecast of the wait says little.
constexpr std::chrono::seconds kMaxRetryAfter{15};

}  // namespace

std::optional<RateRefusal> RateRefusal::Of(const JobSubmission& submission,
                                           Milliseconds expected_wait) {
  const auto allowed_wait = WaitWithinObjective(submission);
  // A job that cannot meet its objective anyhow is not refused on an idle fleet.
  if (!allowed_wait || expected_wait <= std::max(*allowed_wait, Milliseconds(0))) {
    return std::nullopt;
  }
  const auto until_room = std::clamp(std::chrono::ceil<std::chrono::seconds>(
                                         expected_wait - std::max(*allowed_wait, Milliseconds(0))),
                                     kMinRetryAfter, kMaxRetryAfter);
  const auto spread = static_cast<std::int64_t>(std::hash<std::string>()(submission.id) %
                                                static_cast<std::size_t>(until_room.count() + 1));
  return RateRefusal{expected_wait, until_room + std::chrono::seconds(spread)};
}

}  // namespace clementineloom::workload
