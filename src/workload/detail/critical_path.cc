#include "clementineloom/workload/detail/critical_path.h"

#include <algorithm>
#include <cstddef>

namespace clementineloom::workload::detail {

std::int64_t CriticalPathFromMs(const std::vector<StepSpec>& steps, std::uint32_t first) {
  // The longest chain from the first step up to the end of each step; -1 if none leads there.
  std::vector<std::int64_t> ends(steps.size(), -1);
  ends[first] = steps[first].estimate_ms;
  std::int64_t longest = ends[first];
  for (std::size_t step = first + std::size_t{1}; step < steps.size(); ++step) {
    for (const std::uint32_t it : steps[step].depends_on) {
      if (it < step && ends[it] >= 0) {
        ends[step] = std::max(ends[step], ends[it] + steps[step].estimate_ms);
      }
    }
    longest = std::max(longest, ends[step]);
  }
  return longest;
}

std::int64_t CriticalPathMs(const std::vector<StepSpec>& steps) {
  std::int64_t longest = 0;
  for (std::uint32_t step = 0; step < steps.size(); ++step) {
    if (steps[step].depends_on.empty()) {
      longest = std::max(longest, CriticalPathFromMs(steps, step));
    }
  }
  return longest;
}

}  // namespace clementineloom::workload::detail
