#include "ctl/verbs/team_list.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <chrono>
#include <string>
#include <utility>

#include "codec/detail/json_reader.h"
#include "ctl/metrics_option.h"
#include "ctl/metrics_page.h"
#include "ctl/team_table.h"
#include "ctl/team_use_table.h"

namespace clementineloom::ctl {
namespace {

// Teams of entry instances, from the metrics of the one that owns the workers.
Result<Report> ListUse(const std::string& address, std::chrono::milliseconds timeout) {
  BOOST_LEAF_AUTO(samples, FetchMetrics(address, timeout));
  Report report;
  report.tables.push_back(TeamUseTable(samples));
  boost::json::array rows;
  for (const auto& it : report.tables.front().rows) {
    rows.push_back(boost::json::array(it.begin(), it.end()));
  }
  report.data = boost::json::object{{"teams", std::move(rows)}};
  return report;
}

Result<Report> Run(const Invocation& invocation) {
  if (const auto address = MetricsAddress(invocation)) {
    return ListUse(*address, invocation.scheduler.timeout());
  }
  BOOST_LEAF_AUTO(config, invocation.scheduler.Call("config.get", {}));
  BOOST_LEAF_AUTO(teams, codec::detail::JsonReader(config).Array("teams"));
  Report report;
  report.tables.push_back(TeamTable(*teams));
  report.data = boost::json::object{{"teams", *teams}};
  return report;
}

}  // namespace

Verb TeamListVerb() {
  return {.name = "team list",
          .arguments = "",
          .summary = "Lists teams with their guarantees and limits",
          .examples =
              "  loomctl team list\n  loomctl team list --json\n"
              "  loomctl team list --metrics 10.1.0.19:7000\n",
          .add_options = AddMetricsOption,
          .run = Run};
}

}  // namespace clementineloom::ctl
