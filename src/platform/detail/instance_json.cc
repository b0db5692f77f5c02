#include "platform/detail/instance_json.h"

#include <boost/json/array.hpp>
#include <cstdint>
#include <utility>

#include "platform/detail/platform_enum_names.h"

namespace clementineloom::platform::detail {
namespace {

namespace json = boost::json;
using codec::detail::JsonReader;

Result<void> ReadCapacity(const JsonReader& json, Instance& instance) {
  BOOST_LEAF_ASSIGN(instance.rack, json.String("rack"));
  BOOST_LEAF_ASSIGN(instance.accelerators, json.Number<std::uint16_t>("accelerators"));
  BOOST_LEAF_ASSIGN(instance.slots, json.Number<std::uint16_t>("slots"));
  BOOST_LEAF_ASSIGN(instance.connections, json.Number<std::uint16_t>("connections"));
  return {};
}

}  // namespace

json::object ToJson(const Instance& instance) {
  json::object object{{"name", instance.name},
                      {"role", codec::detail::NameOf(instance.role)},
                      {"state", codec::detail::NameOf(instance.state)},
                      {"address", instance.address},
                      {"data_centre", instance.data_centre}};
  if (instance.role == InstanceRole::kEntry) {
    object.emplace("rpc", instance.rpc);
    return object;
  }
  object.emplace("rack", instance.rack);
  object.emplace("accelerators", instance.accelerators);
  object.emplace("slots", instance.slots);
  object.emplace("connections", instance.connections);
  return object;
}

json::object ToJson(const InstanceList& list) {
  json::array instances;
  for (const Instance& it : list.instances) {
    instances.push_back(ToJson(it));
  }
  return {{"version", list.version}, {"instances", std::move(instances)}};
}

Result<Instance> ReadInstance(const JsonReader& json) {
  Instance instance;
  BOOST_LEAF_ASSIGN(instance.name, json.String("name"));
  BOOST_LEAF_AUTO(role, json.String("role"));
  BOOST_LEAF_ASSIGN(instance.role, codec::detail::ParseEnum<InstanceRole>(role));
  BOOST_LEAF_AUTO(state, json.String("state"));
  BOOST_LEAF_ASSIGN(instance.state, codec::detail::ParseEnum<InstanceState>(state));
  BOOST_LEAF_ASSIGN(instance.address, json.String("address"));
  BOOST_LEAF_ASSIGN(instance.data_centre, json.String("data_centre"));
  if (json.Has("rpc")) {
    BOOST_LEAF_ASSIGN(instance.rpc, json.String("rpc"));
  }
  if (instance.role == InstanceRole::kWorker) {
    BOOST_LEAF_CHECK(ReadCapacity(json, instance));
  }
  return instance;
}

Result<InstanceList> ReadInstanceList(const JsonReader& json) {
  InstanceList list;
  BOOST_LEAF_ASSIGN(list.version, json.Number<std::uint64_t>("version"));
  BOOST_LEAF_AUTO(instances, json.Array("instances"));
  for (const json::value& it : *instances) {
    BOOST_LEAF_AUTO(reader, JsonReader::Of(it));
    BOOST_LEAF_AUTO(instance, ReadInstance(reader));
    list.instances.push_back(std::move(instance));
  }
  return list;
}

}  // namespace clementineloom::platform::detail
