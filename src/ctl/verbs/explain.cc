#include "ctl/verbs/explain.h"

#include <boost/json/object.hpp>
#include <utility>

#include "ctl/job_argument.h"
#include "ctl/json_table.h"

namespace clementineloom::ctl {
namespace {

Result<Report> Run(const Invocation& invocation) {
  BOOST_LEAF_AUTO(job, ReadJobArgument(invocation.arguments.front()));
  BOOST_LEAF_AUTO(answer, invocation.scheduler.Call("job.explain", {{"job", job.value()}}));
  Report report;
  report.note = CellOf(answer, "text");
  report.data = std::move(answer);
  return report;
}

}  // namespace

Verb ExplainVerb() {
  return {.name = "explain",
          .arguments = "JOB",
          .summary = "Explains why a job waits, runs where it runs, or was refused",
          .examples = "  loomctl explain 1042\n  loomctl explain 1042 --json\n",
          .min_arguments = 1,
          .max_arguments = 1,
          .run = Run};
}

}  // namespace clementineloom::ctl
