#pragma once

#include <compare>

namespace clementineloom::scheduler {

/// @brief Request for all jobs that the state still holds.
struct JobList {
  friend auto operator<=>(const JobList&, const JobList&) = default;
};

}  // namespace clementineloom::scheduler
