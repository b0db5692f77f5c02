#include "ctl/verbs/config_show.h"

#include <array>
#include <boost/json/object.hpp>
#include <utility>

#include "codec/detail/json_reader.h"
#include "ctl/json_table.h"
#include "ctl/team_table.h"

namespace clementineloom::ctl {
namespace {

constexpr std::array kColumns{Column{"DATA CENTRE", "name"}, Column{"REGION", "region"},
                              Column{"IN SERVICE", "in_service"}};

Result<Report> Run(const Invocation& invocation) {
  BOOST_LEAF_AUTO(config, invocation.scheduler.Call("config.get", {}));
  const codec::detail::JsonReader reader(config);
  BOOST_LEAF_AUTO(data_centres, reader.Array("data_centres"));
  BOOST_LEAF_AUTO(teams, reader.Array("teams"));
  Report report;
  report.tables = {TableOf(*data_centres, kColumns), TeamTable(*teams)};
  report.note = "Revision " + CellOf(config, "revision");
  report.data = std::move(config);
  return report;
}

}  // namespace

Verb ConfigShowVerb() {
  return {.name = "config show",
          .arguments = "",
          .summary = "Shows data centres, teams and the revision of the configuration",
          .examples = "  loomctl config show\n  loomctl config show --json\n",
          .run = Run};
}

}  // namespace clementineloom::ctl
