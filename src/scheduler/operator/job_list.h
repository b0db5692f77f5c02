#pragma once

#include <compare>

namespace clementineloom::scheduler {

/// @brief Request for the jobs that are kept.
struct JobList {
  friend auto operator<=>(const JobList&, const JobList&) = default;
};

}  // namespace clementineloom::scheduler
