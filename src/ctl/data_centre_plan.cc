#include "ctl/data_centre_plan.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <string>

#include "codec/detail/json_reader.h"
#include "codec/detail/model_json.h"
#include "ctl/plan_report.h"

namespace clementineloom::ctl {
namespace {

namespace json = boost::json;
using codec::detail::JsonReader;

Result<DataCentre> FindDataCentre(const json::object& config, const std::string& name) {
  BOOST_LEAF_AUTO(array, JsonReader(config).Array("data_centres"));
  for (const json::value& it : *array) {
    BOOST_LEAF_AUTO(reader, JsonReader::Of(it));
    BOOST_LEAF_AUTO(data_centre, codec::detail::ReadDataCentre(reader));
    if (data_centre.name() == name) {
      return data_centre;
    }
  }
  return Refuse(ResultCode::kUnknownDataCentre, name);
}

}  // namespace

Result<Report> DataCentrePlan(const Invocation& invocation, bool in_service) {
  BOOST_LEAF_AUTO(config, invocation.scheduler.Call("config.get", {}));
  BOOST_LEAF_AUTO(current, FindDataCentre(config, invocation.arguments.front()));
  if (current.in_service() == in_service) {
    return NoChangeReport();
  }
  BOOST_LEAF_AUTO(wanted, DataCentre::Create({current.name(), current.region(), in_service}));
  const json::array edits{json::object{{"set_data_centre", codec::detail::ToJson(wanted)}}};
  return PlanReport(invocation, edits);
}

}  // namespace clementineloom::ctl
