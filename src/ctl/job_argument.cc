#include "ctl/job_argument.h"

#include <charconv>
#include <cstdint>

namespace clementineloom::ctl {

Result<JobId> ReadJobArgument(const std::string& text) {
  std::uint64_t number = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, number);
  if (parsed.ec != std::errc{} || parsed.ptr != end) {
    return Refuse(ResultCode::kUsage, text + " is no job id");
  }
  return JobId(number);
}

}  // namespace clementineloom::ctl
