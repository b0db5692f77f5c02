#include "ctl/plan_report.h"

#include <array>
#include <boost/json/object.hpp>
#include <string>
#include <string_view>
#include <utility>

#include "ctl/author.h"
#include "ctl/json_table.h"

namespace clementineloom::ctl {
namespace {

namespace json = boost::json;

constexpr std::array<std::string_view, 5> kEffects{"starts", "moves", "waits", "refused", "risks"};

std::string CountOf(const json::object& plan, std::string_view key) {
  const json::value* value = plan.if_contains(key);
  return value != nullptr && value->is_array() ? std::to_string(value->get_array().size()) : "-";
}

Table CountsOf(const json::object& plan) {
  Table table;
  table.rows.emplace_back();
  for (const std::string_view it : kEffects) {
    table.header.emplace_back(it);
    table.rows.front().push_back(CountOf(plan, it));
  }
  return table;
}

}  // namespace

Result<Report> PlanReport(const Invocation& invocation, const json::array& edits) {
  const json::object params{{"edits", edits}, {"author", AuthorOf(invocation)}};
  BOOST_LEAF_AUTO(plan, invocation.scheduler.Call("config.plan", params));
  Report report;
  report.tables.push_back(CountsOf(plan));
  const json::value value(std::move(plan));
  const std::string id = CellOf(value, "plan_id");
  if (const std::string text = CellOf(value, "text"); text != "-") {
    report.note = text + "\n\n";
  }
  report.note += "Plan " + id + " on revision " + CellOf(value, "base_revision") +
                 ". Nothing has changed yet; `loomctl confirm " + id + "` puts it in force.";
  report.data = value;
  return report;
}

Report NoChangeReport() {
  Report report;
  report.data = json::object{{"edits", json::array()}};
  report.note = "The configuration is already as asked; there is nothing to confirm.";
  return report;
}

}  // namespace clementineloom::ctl
