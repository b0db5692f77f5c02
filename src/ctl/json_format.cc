#include "ctl/json_format.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include "clementineloom/errors/result_code_table.h"
#include "clementineloom/errors/run_state_name.h"

namespace clementineloom::ctl {

void JsonFormat::Write(std::ostream& out, const Report& report) const {
  out << boost::json::serialize(report.data) << "\n";
}

void JsonFormat::Write(std::ostream& out, const Refusal& refusal) const {
  const boost::json::object error{{"code", static_cast<unsigned>(refusal.code)},
                                  {"name", ResultCodeName(refusal.code)},
                                  {"run_state", RunStateName(refusal.run_state)},
                                  {"detail", refusal.detail}};
  out << boost::json::serialize(error) << "\n";
}

}  // namespace clementineloom::ctl
