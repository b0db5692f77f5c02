#include "soak/job_shape.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <cstdint>
#include <utility>

namespace clementineloom::soak {
namespace {

namespace json = boost::json;

std::int64_t Number(const json::object& step, const char* name) {
  const auto* value = step.if_contains(name);
  return value == nullptr ? 0 : value->to_number<std::int64_t>();
}

StepShape ParseStep(const json::object& step) {
  StepShape shape;
  shape.count = static_cast<std::size_t>(Number(step, "count"));
  shape.task = {Number(step, "cpu"), Number(step, "memMb"), Number(step, "gpus")};
  shape.is_gang = step.contains("gang");
  if (const auto* label = step.if_contains("requirements")) {
    shape.required_label = label->as_string().c_str();
  }
  if (const auto* earlier = step.if_contains("dependsOn")) {
    for (const json::value& it : earlier->as_array()) {
      shape.depends_on.push_back(it.to_number<std::size_t>());
    }
  }
  return shape;
}

}  // namespace

JobShape JobShape::Parse(const std::string& body) {
  JobShape shape;
  const json::value value = json::parse(body);
  for (const json::value& it : value.as_object().at("steps").as_array()) {
    shape.steps.push_back(ParseStep(it.as_object()));
  }
  return shape;
}

}  // namespace clementineloom::soak
