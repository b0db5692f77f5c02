#include "ctl/verbs/plan.h"

#include "ctl/author.h"
#include "ctl/cluster_edits.h"
#include "ctl/plan_report.h"
#include "settings/load_settings.h"

namespace clementineloom::ctl {
namespace {

Result<Report> Run(const Invocation& invocation) {
  BOOST_LEAF_AUTO(document, settings::LoadClusterDocument(invocation.arguments.front()));
  BOOST_LEAF_AUTO(config, invocation.scheduler.Call("config.get", {}));
  BOOST_LEAF_AUTO(edits, ClusterEdits(document, config));
  if (edits.empty()) {
    return NoChangeReport();
  }
  return PlanReport(invocation, edits);
}

}  // namespace

Verb PlanVerb() {
  return {.name = "plan",
          .arguments = "FILE",
          .summary = "Shows what a cluster document would start, move, keep waiting or refuse",
          .examples =
              "  loomctl plan examples/treuil-sahel/cluster.json\n"
              "  loomctl plan cluster.json --json\n",
          .min_arguments = 1,
          .max_arguments = 1,
          .add_options = AddAuthorOption,
          .run = Run};
}

}  // namespace clementineloom::ctl
