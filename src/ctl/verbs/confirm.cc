#include "ctl/verbs/confirm.h"

#include <boost/json/object.hpp>
#include <utility>

#include "ctl/json_table.h"

namespace clementineloom::ctl {
namespace {

Result<Report> Run(const Invocation& invocation) {
  const boost::json::object params{{"plan_id", invocation.arguments.front()}};
  BOOST_LEAF_AUTO(answer, invocation.scheduler.Call("config.confirm", params));
  Report report;
  report.note = "Confirmed; revision " + CellOf(answer, "revision") + " is in force.";
  report.data = std::move(answer);
  return report;
}

}  // namespace

Verb ConfirmVerb() {
  return {.name = "confirm",
          .arguments = "PLAN",
          .summary = "Puts a plan in force, if the configuration is still the one it was made on",
          .examples =
              "  loomctl confirm 4f1c\n"
              "  loomctl confirm 4f1c --scheduler 10.20.1.10:9100\n",
          .min_arguments = 1,
          .max_arguments = 1,
          .run = Run};
}

}  // namespace clementineloom::ctl
