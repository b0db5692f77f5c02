#include "ctl/verbs/job_show.h"

#include <boost/json/object.hpp>
#include <string>
#include <utility>

#include "ctl/job_argument.h"
#include "ctl/json_table.h"

namespace clementineloom::ctl {
namespace {

namespace json = boost::json;

// Members of nested objects get rows with dotted names, for example "spec.team".
void AddRows(const json::object& object, const std::string& prefix, Table& table) {
  for (const auto& it : object) {
    const std::string name = prefix + std::string(it.key());
    if (it.value().is_object()) {
      AddRows(it.value().get_object(), name + ".", table);
    } else {
      table.rows.push_back({name, CellOf(it.value(), "")});
    }
  }
}

Result<Report> Run(const Invocation& invocation) {
  BOOST_LEAF_AUTO(job, ReadJobArgument(invocation.arguments.front()));
  BOOST_LEAF_AUTO(answer, invocation.scheduler.Call("job.get", {{"job", job.value()}}));
  Table table{{"FIELD", "VALUE"}, {}};
  AddRows(answer, "", table);
  Report report;
  report.tables.push_back(std::move(table));
  report.data = std::move(answer);
  return report;
}

}  // namespace

Verb JobShowVerb() {
  return {.name = "job show",
          .arguments = "JOB",
          .summary = "Shows everything known of a job",
          .examples = "  loomctl job show 1042\n  loomctl job show 1042 --json\n",
          .min_arguments = 1,
          .max_arguments = 1,
          .run = Run};
}

}  // namespace clementineloom::ctl
