#include "ctl/team_table.h"

#include <boost/json/object.hpp>
#include <string>

#include "ctl/json_table.h"

namespace clementineloom::ctl {
namespace {

namespace json = boost::json;

// For example "2 x (6 workers x 8, rack)".
std::string ShapeText(const json::value& guarantee) {
  return CellOf(guarantee, "count") + " x (" + CellOf(guarantee, "workers") + " workers x " +
         CellOf(guarantee, "accelerators_per_worker") + ", " + CellOf(guarantee, "adjacency") + ")";
}

}  // namespace

Table TeamTable(const json::array& teams) {
  Table table{{"TEAM", "GUARANTEE", "REQUESTS", "RETRIES/H", "BORROWS"}, {}};
  for (const json::value& team : teams) {
    const json::value* guarantees =
        team.is_object() ? team.get_object().if_contains("guarantees") : nullptr;
    if (guarantees == nullptr || !guarantees->is_array()) {
      continue;
    }
    for (const json::value& it : guarantees->get_array()) {
      table.rows.push_back({CellOf(team, "name"), ShapeText(it),
                            CellOf(team, "max_concurrent_requests"),
                            CellOf(team, "retry_budget_per_hour"), CellOf(team, "may_borrow")});
    }
  }
  return table;
}

}  // namespace clementineloom::ctl
