#include "ctl/verbs/workers.h"

#include <array>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

#include "codec/detail/json_reader.h"
#include "ctl/json_table.h"

namespace clementineloom::ctl {
namespace {

constexpr std::array kColumns{Column{"WORKER", "name"},
                              Column{"DATA CENTRE", "data_centre"},
                              Column{"RACK", "rack"},
                              Column{"CONDITION", "condition"},
                              Column{"FREE", "free_accelerators"},
                              Column{"ACCELERATORS", "accelerators"},
                              Column{"JOBS", "jobs"},
                              Column{"ADDRESS", "address"}};

Result<Report> Run(const Invocation& invocation) {
  BOOST_LEAF_AUTO(answer, invocation.scheduler.Call("worker.list", {}));
  BOOST_LEAF_AUTO(workers, codec::detail::JsonReader(answer).Array("workers"));
  Report report;
  report.tables.push_back(TableOf(*workers, kColumns));
  report.data = boost::json::object{{"workers", *workers}};
  return report;
}

}  // namespace

Verb WorkersVerb() {
  return {.name = "workers",
          .arguments = "",
          .summary = "Lists workers with their condition and free accelerators",
          .examples = "  loomctl workers\n  loomctl workers --json\n",
          .run = Run};
}

}  // namespace clementineloom::ctl
