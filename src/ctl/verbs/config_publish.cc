#include "ctl/verbs/config_publish.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <string>
#include <utility>

#include "ctl/author.h"
#include "ctl/cluster_edits.h"
#include "ctl/json_table.h"
#include "ctl/plan_report.h"
#include "settings/load_settings.h"

namespace clementineloom::ctl {
namespace {

namespace json = boost::json;

// Sends the edits and the base revision in place of the plan's id, so that any scheduler can
// confirm the plan that was shown.
Result<Report> Confirm(const Invocation& invocation, const json::array& edits, Report plan) {
  const json::object& shown = plan.data.get_object();
  const json::value* revision = shown.if_contains("base_revision");
  if (revision == nullptr) {
    return Refuse(ResultCode::kMissingKey, "base_revision");
  }
  const json::object params{
      {"edits", edits}, {"base_revision", *revision}, {"author", AuthorOf(invocation)}};
  BOOST_LEAF_AUTO(answer, invocation.scheduler.Call("config.confirm", params));
  plan.note = "Confirmed; revision " + CellOf(answer, "revision") + " is in force.";
  plan.data = json::object{{"plan", plan.data}, {"confirmed", answer}};
  return plan;
}

Result<Report> Run(const Invocation& invocation) {
  BOOST_LEAF_AUTO(document, settings::LoadClusterDocument(invocation.arguments.front()));
  BOOST_LEAF_AUTO(config, invocation.scheduler.Call("config.get", {}));
  BOOST_LEAF_AUTO(edits, ClusterEdits(document, config));
  if (edits.empty()) {
    return NoChangeReport();
  }
  BOOST_LEAF_AUTO(plan, PlanReport(invocation, edits));
  if (invocation.options.count("confirm") == 0) {
    return plan;
  }
  return Confirm(invocation, edits, std::move(plan));
}

void AddOptions(cxxopts::Options& options) {
  AddAuthorOption(options);
  options.add_options()("confirm", "put the plan in force at once if the revision is unchanged");
}

}  // namespace

Verb ConfigPublishVerb() {
  return {.name = "config publish",
          .arguments = "FILE",
          .summary = "Plans the configuration of a cluster document; --confirm puts it in force",
          .examples =
              "  loomctl config publish examples/cooperative/cluster.json\n"
              "  loomctl config publish cluster.json --confirm --author ilze\n",
          .min_arguments = 1,
          .max_arguments = 1,
          .add_options = AddOptions,
          .run = Run};
}

}  // namespace clementineloom::ctl
