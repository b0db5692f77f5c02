#pragma once

#include <boost/json/object.hpp>

#include "clementineloom/errors/result.h"
#include "clementineloom/model/data_centre.h"
#include "clementineloom/model/gang_shape.h"
#include "clementineloom/model/job_spec.h"
#include "clementineloom/model/placement.h"
#include "clementineloom/model/team.h"
#include "clementineloom/model/worker.h"
#include "codec/detail/json_reader.h"

namespace clementineloom::codec::detail {

// JSON of the value types. Reading repeats every check of their factories.

[[nodiscard]] boost::json::object ToJson(const GangShape& shape);
[[nodiscard]] boost::json::object ToJson(const Team& team);
[[nodiscard]] boost::json::object ToJson(const DataCentre& data_centre);
[[nodiscard]] boost::json::object ToJson(const Worker& worker);
[[nodiscard]] boost::json::object ToJson(const JobSpec& spec);
[[nodiscard]] boost::json::object ToJson(const Placement& placement);

[[nodiscard]] Result<GangShape> ReadGangShape(const JsonReader& json);
[[nodiscard]] Result<Team> ReadTeam(const JsonReader& json);
[[nodiscard]] Result<DataCentre> ReadDataCentre(const JsonReader& json);
[[nodiscard]] Result<Worker> ReadWorker(const JsonReader& json);
[[nodiscard]] Result<JobSpec> ReadJobSpec(const JsonReader& json);
[[nodiscard]] Result<Placement> ReadPlacement(const JsonReader& json);

}  // namespace clementineloom::codec::detail
