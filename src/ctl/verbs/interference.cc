#include "ctl/verbs/interference.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <cmath>
#include <string>
#include <string_view>
#include <utility>

#include "ctl/metrics_option.h"
#include "ctl/metrics_page.h"

namespace clementineloom::ctl {
namespace {

constexpr std::string_view kMetric = "loom_entry_interference";
constexpr double kPercent = 100;

Result<Report> Run(const Invocation& invocation) {
  const auto address = MetricsAddress(invocation);
  if (!address) {
    return Refuse(ResultCode::kUsage, "--metrics IP:PORT expected");
  }
  BOOST_LEAF_AUTO(samples, FetchMetrics(*address, invocation.scheduler.timeout()));
  Report report;
  Table table{{"TASKS", "SPEED LEFT"}, {}};
  boost::json::array pairs;
  for (const MetricSample& it : samples) {
    // Pairs that are not known to disturb any more stay on the page as 1.
    if (it.name == kMetric && it.number < 1) {
      table.rows.push_back({it.label, std::to_string(std::lround(it.number * kPercent)) + "%"});
      pairs.push_back(boost::json::object{{"pair", it.label}, {"left", it.number}});
    }
  }
  report.tables.push_back(std::move(table));
  report.data = boost::json::object{{"pairs", std::move(pairs)}};
  return report;
}

}  // namespace

Verb InterferenceVerb() {
  return {.name = "interference",
          .arguments = "--metrics IP:PORT",
          .summary = "Lists the kinds of tasks that slow each other on one worker",
          .examples = "  loomctl interference --metrics 10.1.0.19:7000\n",
          .add_options = AddMetricsOption,
          .run = Run};
}

}  // namespace clementineloom::ctl
