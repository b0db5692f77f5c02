#include "ctl/metrics_page.h"

#include <algorithm>
#include <charconv>
#include <cstddef>
#include <optional>
#include <system_error>

#include "net/blocking_http_client.h"

namespace clementineloom::ctl {
namespace {

constexpr int kOk = 200;

// The text between the quotes of a label, without the backslashes that escape.
std::string LabelValue(std::string_view labels) {
  const std::size_t begin = labels.find('"');
  const std::size_t end = labels.rfind('"');
  std::string value;
  if (begin == std::string_view::npos || end <= begin) {
    return value;
  }
  for (std::size_t n = begin + 1; n < end; ++n) {
    const bool is_escape = labels[n] == '\\' && n + 1 < end;
    n += is_escape ? 1 : 0;
    value += is_escape && labels[n] == 'n' ? '\n' : labels[n];
  }
  return value;
}

std::optional<MetricSample> ParseLine(std::string_view line) {
  const std::size_t space = line.rfind(' ');
  if (line.empty() || line.front() == '#' || space == std::string_view::npos) {
    return std::nullopt;
  }
  const std::string_view series = line.substr(0, space);
  const std::string_view text = line.substr(space + 1);
  const std::size_t brace = series.find('{');
  MetricSample sample;
  sample.name = series.substr(0, brace);
  sample.label = brace == std::string_view::npos ? std::string() : LabelValue(series.substr(brace));
  const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), sample.number);
  return ec == std::errc() && end == text.data() + text.size() ? std::optional(sample)
                                                               : std::nullopt;
}

}  // namespace

std::vector<MetricSample> ParseMetrics(std::string_view page) {
  std::vector<MetricSample> samples;
  while (!page.empty()) {
    const std::size_t end = std::min(page.find('\n'), page.size());
    if (const auto sample = ParseLine(page.substr(0, end))) {
      samples.push_back(*sample);
    }
    page.remove_prefix(std::min(end + 1, page.size()));
  }
  return samples;
}

Result<std::vector<MetricSample>> FetchMetrics(const std::string& address,
                                               std::chrono::milliseconds timeout) {
  net::BlockingHttpClient client("metrics");
  BOOST_LEAF_AUTO(response, client.Call(address, {"GET", "/metrics", {}, {}}, timeout));
  if (response.status != kOk) {
    return Refuse(ResultCode::kPeerUnavailable,
                  address + " answered " + std::to_string(response.status));
  }
  return ParseMetrics(response.body);
}

}  // namespace clementineloom::ctl
