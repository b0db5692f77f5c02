#include "ctl/verbs/team_list.h"

#include <boost/json/object.hpp>

#include "codec/detail/json_reader.h"
#include "ctl/team_table.h"

namespace clementineloom::ctl {
namespace {

Result<Report> Run(const Invocation& invocation) {
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
          .examples = "  loomctl team list\n  loomctl team list --json\n",
          .run = Run};
}

}  // namespace clementineloom::ctl
