#pragma once

#include <string_view>

#include "net/request_outcome.h"

namespace clementineloom::net {

/// @brief The snake_case name of an outcome, as used in metrics and logs.
/// Thread safety: may be called from any thread.
[[nodiscard]] constexpr std::string_view RequestOutcomeName(RequestOutcome outcome) {
  switch (outcome) {
    case RequestOutcome::kAnswered:
      return "answered";
    case RequestOutcome::kRefused:
      return "refused";
    case RequestOutcome::kUnwritten:
      return "unwritten";
    case RequestOutcome::kDiscarded:
      return "discarded";
    case RequestOutcome::kCutOff:
      return "cut_off";
  }
  return "cut_off";
}

}  // namespace clementineloom::net
