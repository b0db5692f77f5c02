#include "codec/detail/model_json.h"

#include <boost/json/array.hpp>
#include <string>
#include <utility>
#include <vector>

#include "codec/detail/enum_names.h"

namespace clementineloom::codec::detail {
namespace {

namespace json = boost::json;

Result<Guarantee> ReadGuarantee(const json::value& value) {
  BOOST_LEAF_AUTO(reader, JsonReader::Of(value));
  BOOST_LEAF_AUTO(shape, ReadGangShape(reader));
  BOOST_LEAF_AUTO(count, reader.Number<std::uint16_t>("count"));
  return Guarantee(shape, count);
}

// An allocation is written as [worker, accelerators], because a gang has up to 512 of them.
Result<Allocation> ReadAllocation(const json::value& value) {
  if (!value.is_array() || value.get_array().size() != 2) {
    return Refuse(ResultCode::kWrongType, "allocations");
  }
  boost::system::error_code ec;
  const auto worker = value.get_array()[0].to_number<std::uint32_t>(ec);
  if (ec) {
    return Refuse(ResultCode::kWrongType, "allocations.worker");
  }
  const auto accelerators = value.get_array()[1].to_number<std::uint16_t>(ec);
  if (ec) {
    return Refuse(ResultCode::kWrongType, "allocations.accelerators");
  }
  return Allocation(WorkerId(worker), accelerators);
}

}  // namespace

json::object ToJson(const GangShape& shape) {
  return {{"accelerators_per_worker", shape.accelerators_per_worker()},
          {"workers", shape.workers()},
          {"adjacency", NameOf(shape.adjacency())}};
}

Result<GangShape> ReadGangShape(const JsonReader& json) {
  BOOST_LEAF_AUTO(accelerators, json.Number<std::uint16_t>("accelerators_per_worker"));
  BOOST_LEAF_AUTO(workers, json.Number<std::uint16_t>("workers"));
  BOOST_LEAF_AUTO(name, json.String("adjacency"));
  BOOST_LEAF_AUTO(adjacency, ParseEnum<Adjacency>(name));
  return GangShape::Create(
      {.accelerators_per_worker = accelerators, .workers = workers, .adjacency = adjacency});
}

json::object ToJson(const Team& team) {
  json::array guarantees;
  for (const Guarantee& it : team.guarantees()) {
    json::object guarantee = ToJson(it.shape());
    guarantee.emplace("count", it.count());
    guarantees.push_back(std::move(guarantee));
  }
  return {{"name", team.name()},
          {"guarantees", std::move(guarantees)},
          {"max_concurrent_requests", team.max_concurrent_requests()},
          {"retry_budget_per_hour", team.retry_budget_per_hour()},
          {"may_borrow", team.may_borrow()}};
}

Result<Team> ReadTeam(const JsonReader& json) {
  Team::Fields fields;
  BOOST_LEAF_ASSIGN(fields.name, json.String("name"));
  BOOST_LEAF_AUTO(guarantees, json.Array("guarantees"));
  for (const json::value& it : *guarantees) {
    BOOST_LEAF_AUTO(guarantee, ReadGuarantee(it));
    fields.guarantees.push_back(guarantee);
  }
  BOOST_LEAF_ASSIGN(fields.max_concurrent_requests,
                    json.Number<std::uint32_t>("max_concurrent_requests"));
  BOOST_LEAF_ASSIGN(fields.retry_budget_per_hour,
                    json.Number<std::uint32_t>("retry_budget_per_hour"));
  BOOST_LEAF_ASSIGN(fields.may_borrow, json.Bool("may_borrow"));
  return Team::Create(std::move(fields));
}

json::object ToJson(const DataCentre& data_centre) {
  return {{"name", data_centre.name()},
          {"region", data_centre.region()},
          {"in_service", data_centre.in_service()}};
}

Result<DataCentre> ReadDataCentre(const JsonReader& json) {
  DataCentre::Fields fields;
  BOOST_LEAF_ASSIGN(fields.name, json.String("name"));
  BOOST_LEAF_ASSIGN(fields.region, json.String("region"));
  BOOST_LEAF_ASSIGN(fields.in_service, json.Bool("in_service"));
  return DataCentre::Create(std::move(fields));
}

json::object ToJson(const Worker& worker) {
  return {{"name", worker.name()},
          {"address", worker.address()},
          {"data_centre", worker.data_centre()},
          {"rack", worker.rack()},
          {"accelerators", worker.accelerators()},
          {"slots", worker.slots()},
          {"connections", worker.connections()}};
}

Result<Worker> ReadWorker(const JsonReader& json) {
  Worker::Fields fields;
  BOOST_LEAF_ASSIGN(fields.name, json.String("name"));
  BOOST_LEAF_ASSIGN(fields.address, json.String("address"));
  BOOST_LEAF_ASSIGN(fields.data_centre, json.String("data_centre"));
  BOOST_LEAF_ASSIGN(fields.rack, json.String("rack"));
  BOOST_LEAF_ASSIGN(fields.accelerators, json.Number<std::uint16_t>("accelerators"));
  BOOST_LEAF_ASSIGN(fields.slots, json.Number<std::uint16_t>("slots"));
  BOOST_LEAF_ASSIGN(fields.connections, json.Number<std::uint16_t>("connections"));
  return Worker::Create(std::move(fields));
}

json::object ToJson(const JobSpec& spec) {
  return {{"team", spec.team()},
          {"job_class", spec.job_class()},
          {"shape", ToJson(spec.shape())},
          {"priority", NameOf(spec.priority())},
          {"declared_run_time_ms", spec.declared_run_time().count()},
          {"command", spec.command()}};
}

Result<JobSpec> ReadJobSpec(const JsonReader& json) {
  BOOST_LEAF_AUTO(team, json.String("team"));
  BOOST_LEAF_AUTO(job_class, json.String("job_class"));
  BOOST_LEAF_AUTO(shape_json, json.Object("shape"));
  BOOST_LEAF_AUTO(shape, ReadGangShape(shape_json));
  BOOST_LEAF_AUTO(priority_name, json.String("priority"));
  BOOST_LEAF_AUTO(priority, ParseEnum<JobPriority>(priority_name));
  BOOST_LEAF_AUTO(run_time, json.Signed("declared_run_time_ms"));
  BOOST_LEAF_AUTO(command, json.String("command"));
  return JobSpec::Create({.team = std::move(team),
                          .job_class = std::move(job_class),
                          .shape = shape,
                          .priority = priority,
                          .declared_run_time = Duration(run_time),
                          .command = std::move(command)});
}

json::object ToJson(const Placement& placement) {
  json::array allocations;
  for (const Allocation& it : placement.allocations()) {
    allocations.push_back(json::array{it.worker().value(), it.accelerators()});
  }
  return {{"job", placement.job().value()},
          {"attempt", placement.attempt()},
          {"kind", NameOf(placement.kind())},
          {"guarantee_index", placement.guarantee_index()},
          {"guarantee_instance", placement.guarantee_instance()},
          {"allocations", std::move(allocations)}};
}

Result<Placement> ReadPlacement(const JsonReader& json) {
  Placement::Fields fields;
  BOOST_LEAF_AUTO(job, json.Number<std::uint64_t>("job"));
  fields.job = JobId(job);
  BOOST_LEAF_ASSIGN(fields.attempt, json.Number<std::uint32_t>("attempt"));
  BOOST_LEAF_AUTO(kind, json.String("kind"));
  BOOST_LEAF_ASSIGN(fields.kind, ParseEnum<CapacityKind>(kind));
  BOOST_LEAF_ASSIGN(fields.guarantee_index, json.Number<std::uint16_t>("guarantee_index"));
  BOOST_LEAF_ASSIGN(fields.guarantee_instance, json.Number<std::uint16_t>("guarantee_instance"));
  BOOST_LEAF_AUTO(allocations, json.Array("allocations"));
  for (const json::value& it : *allocations) {
    BOOST_LEAF_AUTO(allocation, ReadAllocation(it));
    fields.allocations.push_back(allocation);
  }
  return Placement(std::move(fields));
}

}  // namespace clementineloom::codec::detail
