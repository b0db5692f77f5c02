#include "ctl/verbs/job_cancel.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <string>
#include <utility>

#include "ctl/job_argument.h"
#include "ctl/json_table.h"

namespace clementineloom::ctl {
namespace {

namespace json = boost::json;

Result<Report> Run(const Invocation& invocation) {
  json::array jobs;
  for (const std::string& it : invocation.arguments) {
    BOOST_LEAF_AUTO(job, ReadJobArgument(it));
    jobs.push_back(job.value());
  }
  BOOST_LEAF_AUTO(answer, invocation.scheduler.Call("job.cancel", {{"jobs", std::move(jobs)}}));
  Report report;
  report.tables.push_back({{"CANCELLED", "NOT CANCELLED"},
                           {{CellOf(answer, "cancelled"), CellOf(answer, "not_cancelled")}}});
  report.data = std::move(answer);
  return report;
}

}  // namespace

Verb JobCancelVerb() {
  return {.name = "job cancel",
          .arguments = "JOB...",
          .summary = "Cancels jobs; those that have ended stay as they are",
          .examples = "  loomctl job cancel 1042\n  loomctl job cancel 1042 1043 1044\n",
          .min_arguments = 1,
          .max_arguments = 10'000,
          .run = Run};
}

}  // namespace clementineloom::ctl
