#include "ctl/verbs/job_list.h"

#include <array>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

#include "codec/detail/json_reader.h"
#include "ctl/json_table.h"

namespace clementineloom::ctl {
namespace {

constexpr std::array kColumns{Column{"JOB", "job"},        Column{"KEY", "key"},
                              Column{"TEAM", "spec.team"}, Column{"PRIORITY", "spec.priority"},
                              Column{"PHASE", "phase"},    Column{"OUTCOME", "outcome"},
                              Column{"KIND", "kind"},      Column{"ATTEMPT", "attempt"},
                              Column{"WORKERS", "workers"}};

Result<Report> Run(const Invocation& invocation) {
  BOOST_LEAF_AUTO(answer, invocation.scheduler.Call("job.list", {}));
  BOOST_LEAF_AUTO(jobs, codec::detail::JsonReader(answer).Array("jobs"));
  Report report;
  report.tables.push_back(TableOf(*jobs, kColumns));
  report.data = boost::json::object{{"jobs", *jobs}};
  return report;
}

}  // namespace

Verb JobListVerb() {
  return {.name = "job list",
          .arguments = "",
          .summary = "Lists jobs with phase, outcome and workers",
          .examples = "  loomctl job list\n  loomctl job list --json\n",
          .run = Run};
}

}  // namespace clementineloom::ctl
