#include "codec/state_image_codec.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <memory>
#include <utility>

#include "codec/crc32.h"
#include "codec/detail/enum_names.h"
#include "codec/detail/json_reader.h"
#include "codec/detail/model_json.h"

namespace clementineloom::codec {
namespace {

namespace json = boost::json;
using detail::JsonReader;
using detail::NameOf;
using detail::ParseEnum;

template <class Ids>
json::array IdsToJson(const Ids& ids) {
  json::array array;
  for (const auto& it : ids) {
    array.push_back(it.value());
  }
  return array;
}

// An element of the array under the key.
template <class T>
Result<T> ReadNumber(const json::value& value, std::string_view key) {
  boost::system::error_code ec;
  const auto number = value.to_number<T>(ec);
  if (ec) {
    return Refuse(ResultCode::kWrongType, std::string(key));
  }
  return number;
}

template <class Id>
Result<std::vector<Id>> ReadIds(const JsonReader& json, std::string_view key) {
  BOOST_LEAF_AUTO(array, json.Array(key));
  std::vector<Id> ids;
  ids.reserve(array->size());
  for (const json::value& it : *array) {
    BOOST_LEAF_AUTO(number, ReadNumber<typename Id::rep>(it, key));
    ids.emplace_back(number);
  }
  return ids;
}

// Reads each object of an array with the given function.
template <class T>
Result<std::vector<T>> ReadRows(const JsonReader& json, std::string_view key,
                                Result<T> (*read)(const JsonReader&)) {
  BOOST_LEAF_AUTO(array, json.Array(key));
  std::vector<T> rows;
  rows.reserve(array->size());
  for (const json::value& it : *array) {
    BOOST_LEAF_AUTO(reader, JsonReader::Of(it));
    BOOST_LEAF_AUTO(row, read(reader));
    rows.push_back(std::move(row));
  }
  return rows;
}

json::array CellsToJson(const std::vector<CellUse>& cells) {
  json::array array;
  for (const CellUse& it : cells) {
    array.push_back(json::array{it.units, it.domain});
  }
  return array;
}

Result<std::vector<CellUse>> ReadCells(const json::value& value) {
  std::vector<CellUse> cells;
  if (!value.is_array()) {
    return Refuse(ResultCode::kWrongType, "cells");
  }
  for (const json::value& it : value.get_array()) {
    if (!it.is_array() || it.get_array().size() != 2) {
      return Refuse(ResultCode::kWrongType, "cells");
    }
    CellUse cell;
    BOOST_LEAF_ASSIGN(cell.units, ReadNumber<std::uint32_t>(it.get_array()[0], "cells"));
    BOOST_LEAF_ASSIGN(cell.domain, ReadNumber<std::uint32_t>(it.get_array()[1], "cells"));
    cells.push_back(cell);
  }
  return cells;
}

json::object ToJson(const TeamEntry& entry) {
  json::array cells;
  for (const auto& it : entry.cells) {
    cells.push_back(CellsToJson(it));
  }
  return {{"team", detail::ToJson(entry.team)},
          {"deleted", entry.deleted},
          {"active_jobs", entry.active_jobs},
          {"held_accelerators", entry.held_accelerators},
          {"cells", std::move(cells)}};
}

Result<TeamEntry> ReadTeamEntry(const JsonReader& json) {
  BOOST_LEAF_AUTO(object, json.Object("team"));
  BOOST_LEAF_AUTO(team, detail::ReadTeam(object));
  TeamEntry entry{.team = std::move(team),
                  .deleted = false,
                  .active_jobs = 0,
                  .held_accelerators = 0,
                  .cells = {}};
  BOOST_LEAF_ASSIGN(entry.deleted, json.Bool("deleted"));
  BOOST_LEAF_ASSIGN(entry.active_jobs, json.Number<std::uint32_t>("active_jobs"));
  BOOST_LEAF_ASSIGN(entry.held_accelerators, json.Number<std::uint32_t>("held_accelerators"));
  BOOST_LEAF_AUTO(cells, json.Array("cells"));
  for (const json::value& it : *cells) {
    BOOST_LEAF_AUTO(row, ReadCells(it));
    entry.cells.push_back(std::move(row));
  }
  return entry;
}

json::object ToJson(const DataCentreEntry& entry) {
  return {{"data_centre", detail::ToJson(entry.data_centre)}, {"racks", IdsToJson(entry.racks)}};
}

Result<DataCentreEntry> ReadDataCentreEntry(const JsonReader& json) {
  BOOST_LEAF_AUTO(object, json.Object("data_centre"));
  BOOST_LEAF_AUTO(data_centre, detail::ReadDataCentre(object));
  BOOST_LEAF_AUTO(racks, ReadIds<RackId>(json, "racks"));
  return DataCentreEntry{.data_centre = std::move(data_centre), .racks = std::move(racks)};
}

json::object ToJson(const RackEntry& entry) {
  return {{"name", entry.name},
          {"data_centre", entry.data_centre.value()},
          {"workers", IdsToJson(entry.workers)}};
}

Result<RackEntry> ReadRackEntry(const JsonReader& json) {
  RackEntry entry;
  BOOST_LEAF_ASSIGN(entry.name, json.String("name"));
  BOOST_LEAF_AUTO(data_centre, json.Number<std::uint16_t>("data_centre"));
  entry.data_centre = DataCentreId(data_centre);
  BOOST_LEAF_ASSIGN(entry.workers, ReadIds<WorkerId>(json, "workers"));
  return entry;
}

json::object ToJson(const WorkerEntry& entry) {
  return {{"name", entry.name},
          {"address", entry.address},
          {"rack", entry.rack.value()},
          {"data_centre", entry.data_centre.value()},
          {"accelerators", entry.accelerators},
          {"free_accelerators", entry.free_accelerators},
          {"slots", entry.slots},
          {"connections", entry.connections},
          {"consecutive_failures", entry.consecutive_failures},
          {"condition", NameOf(entry.condition)},
          {"jobs", IdsToJson(entry.jobs)}};
}

Result<WorkerEntry> ReadWorkerEntry(const JsonReader& json) {
  WorkerEntry entry;
  BOOST_LEAF_ASSIGN(entry.name, json.String("name"));
  BOOST_LEAF_ASSIGN(entry.address, json.String("address"));
  BOOST_LEAF_AUTO(rack, json.Number<std::uint32_t>("rack"));
  entry.rack = RackId(rack);
  BOOST_LEAF_AUTO(data_centre, json.Number<std::uint16_t>("data_centre"));
  entry.data_centre = DataCentreId(data_centre);
  BOOST_LEAF_ASSIGN(entry.accelerators, json.Number<std::uint16_t>("accelerators"));
  BOOST_LEAF_ASSIGN(entry.free_accelerators, json.Number<std::uint16_t>("free_accelerators"));
  BOOST_LEAF_ASSIGN(entry.slots, json.Number<std::uint16_t>("slots"));
  BOOST_LEAF_ASSIGN(entry.connections, json.Number<std::uint16_t>("connections"));
  BOOST_LEAF_ASSIGN(entry.consecutive_failures, json.Number<std::uint16_t>("consecutive_failures"));
  BOOST_LEAF_AUTO(condition, json.String("condition"));
  BOOST_LEAF_ASSIGN(entry.condition, ParseEnum<WorkerCondition>(condition));
  BOOST_LEAF_ASSIGN(entry.jobs, ReadIds<JobId>(json, "jobs"));
  return entry;
}

json::array ToJson(const std::vector<Allocation>& allocations) {
  json::array array;
  for (const Allocation& it : allocations) {
    array.push_back(json::array{it.worker().value(), it.accelerators()});
  }
  return array;
}

Result<std::vector<Allocation>> ReadAllocations(const JsonReader& json) {
  BOOST_LEAF_AUTO(array, json.Array("allocations"));
  std::vector<Allocation> allocations;
  for (const json::value& it : *array) {
    if (!it.is_array() || it.get_array().size() != 2) {
      return Refuse(ResultCode::kWrongType, "allocations");
    }
    BOOST_LEAF_AUTO(worker, ReadNumber<std::uint32_t>(it.get_array()[0], "allocations"));
    BOOST_LEAF_AUTO(accelerators, ReadNumber<std::uint16_t>(it.get_array()[1], "allocations"));
    allocations.emplace_back(WorkerId(worker), accelerators);
  }
  return allocations;
}

using JobRow = std::pair<JobId, JobEntry>;

json::object ToJson(const JobRow& row) {
  const JobEntry& job = row.second;
  return {{"id", row.first.value()},
          {"spec", detail::ToJson(*job.spec)},
          {"key", job.key},
          {"team", job.team.value()},
          {"submitted_at_ms", job.submitted_at.time_since_epoch().count()},
          {"phase", NameOf(job.phase)},
          {"outcome", NameOf(job.outcome)},
          {"stop_reason", NameOf(job.stop_reason)},
          {"kind", NameOf(job.kind)},
          {"guarantee_index", job.guarantee_index},
          {"guarantee_instance", job.guarantee_instance},
          {"attempt", job.attempt},
          {"failures", job.failures},
          {"run_time_ms", job.run_time.count()},
          {"token", job.token.value()},
          {"allocations", ToJson(job.allocations)},
          {"failed_on", IdsToJson(job.failed_on)}};
}

Result<void> ReadJobProgress(const JsonReader& json, JobEntry& job) {
  BOOST_LEAF_AUTO(phase, json.String("phase"));
  BOOST_LEAF_ASSIGN(job.phase, ParseEnum<JobPhase>(phase));
  BOOST_LEAF_AUTO(outcome, json.String("outcome"));
  BOOST_LEAF_ASSIGN(job.outcome, ParseEnum<JobOutcome>(outcome));
  BOOST_LEAF_AUTO(stop_reason, json.String("stop_reason"));
  BOOST_LEAF_ASSIGN(job.stop_reason, ParseEnum<StopReason>(stop_reason));
  BOOST_LEAF_AUTO(kind, json.String("kind"));
  BOOST_LEAF_ASSIGN(job.kind, ParseEnum<CapacityKind>(kind));
  BOOST_LEAF_ASSIGN(job.guarantee_index, json.Number<std::uint16_t>("guarantee_index"));
  BOOST_LEAF_ASSIGN(job.guarantee_instance, json.Number<std::uint16_t>("guarantee_instance"));
  BOOST_LEAF_ASSIGN(job.attempt, json.Number<std::uint32_t>("attempt"));
  BOOST_LEAF_ASSIGN(job.failures, json.Number<std::uint32_t>("failures"));
  BOOST_LEAF_AUTO(run_time, json.Signed("run_time_ms"));
  job.run_time = Duration(run_time);
  BOOST_LEAF_AUTO(token, json.Number<std::uint64_t>("token"));
  job.token = FencingToken(token);
  BOOST_LEAF_ASSIGN(job.allocations, ReadAllocations(json));
  BOOST_LEAF_ASSIGN(job.failed_on, ReadIds<WorkerId>(json, "failed_on"));
  return {};
}

Result<JobRow> ReadJobRow(const JsonReader& json) {
  BOOST_LEAF_AUTO(id, json.Number<std::uint64_t>("id"));
  JobEntry job;
  BOOST_LEAF_AUTO(object, json.Object("spec"));
  BOOST_LEAF_AUTO(spec, detail::ReadJobSpec(object));
  job.spec = std::make_shared<const JobSpec>(std::move(spec));
  BOOST_LEAF_ASSIGN(job.key, json.String("key"));
  BOOST_LEAF_AUTO(team, json.Number<std::uint32_t>("team"));
  job.team = TeamId(team);
  BOOST_LEAF_AUTO(submitted_at, json.Signed("submitted_at_ms"));
  job.submitted_at = Instant(Duration(submitted_at));
  BOOST_LEAF_CHECK(ReadJobProgress(json, job));
  return JobRow(JobId(id), std::move(job));
}

template <class Rows>
json::array RowsToJson(const Rows& rows) {
  json::array array;
  array.reserve(rows.size());
  for (const auto& it : rows) {
    array.push_back(ToJson(it));
  }
  return array;
}

Result<StateImage> ReadImage(const JsonReader& json) {
  StateImage::Fields fields;
  BOOST_LEAF_AUTO(applied, json.Number<std::uint64_t>("applied_offset"));
  fields.applied_offset = LogOffset(applied);
  BOOST_LEAF_AUTO(revision, json.Number<std::uint64_t>("config_revision"));
  fields.config_revision = ConfigRevision(revision);
  BOOST_LEAF_AUTO(epoch, json.Number<std::uint64_t>("guarantee_epoch"));
  fields.guarantee_epoch = LogOffset(epoch);
  BOOST_LEAF_ASSIGN(fields.teams, ReadRows(json, "teams", ReadTeamEntry));
  BOOST_LEAF_ASSIGN(fields.data_centres, ReadRows(json, "data_centres", ReadDataCentreEntry));
  BOOST_LEAF_ASSIGN(fields.racks, ReadRows(json, "racks", ReadRackEntry));
  BOOST_LEAF_ASSIGN(fields.workers, ReadRows(json, "workers", ReadWorkerEntry));
  BOOST_LEAF_ASSIGN(fields.jobs, ReadRows(json, "jobs", ReadJobRow));
  BOOST_LEAF_ASSIGN(fields.ended_jobs, ReadIds<JobId>(json, "ended_jobs"));
  BOOST_LEAF_AUTO(record_ids, ReadIds<LogOffset>(json, "record_ids"));
  for (const LogOffset it : record_ids) {
    fields.record_ids.push_back(it.value());
  }
  return StateImage(std::move(fields));
}

// A cut inside a UTF-8 sequence would make both parts unreadable as JSON strings.
std::size_t Utf8BoundaryBefore(std::string_view text, std::size_t end) {
  constexpr unsigned kContinuationMask = 0xC0;
  constexpr unsigned kContinuation = 0x80;
  while ((static_cast<unsigned char>(text[end]) & kContinuationMask) == kContinuation) {
    --end;
  }
  return end;
}

std::vector<std::string_view> SplitText(std::string_view text) {
  std::vector<std::string_view> parts;
  while (text.size() > kSnapshotChunkBytes) {
    const std::size_t end = Utf8BoundaryBefore(text, kSnapshotChunkBytes);
    parts.push_back(text.substr(0, end));
    text.remove_prefix(end);
  }
  parts.push_back(text);
  return parts;
}

}  // namespace

std::string EncodeStateImage(const StateImage& image) {
  const StateImage::Fields& fields = image.fields();
  json::array record_ids(fields.record_ids.begin(), fields.record_ids.end());
  return json::serialize(json::object{{"applied_offset", fields.applied_offset.value()},
                                      {"config_revision", fields.config_revision.value()},
                                      {"guarantee_epoch", fields.guarantee_epoch.value()},
                                      {"teams", RowsToJson(fields.teams)},
                                      {"data_centres", RowsToJson(fields.data_centres)},
                                      {"racks", RowsToJson(fields.racks)},
                                      {"workers", RowsToJson(fields.workers)},
                                      {"jobs", RowsToJson(fields.jobs)},
                                      {"ended_jobs", IdsToJson(fields.ended_jobs)},
                                      {"record_ids", std::move(record_ids)}});
}

Result<StateImage> DecodeStateImage(std::string_view text) {
  boost::system::error_code ec;
  const json::value value = json::parse(text, ec);
  if (ec) {
    return Refuse(ResultCode::kSnapshotTorn, ec.message());
  }
  BOOST_LEAF_AUTO(reader, JsonReader::Of(value));
  return ReadImage(reader);
}

std::vector<SnapshotChunk> SplitStateImage(const std::string& snapshot, const StateImage& image) {
  const std::string text = EncodeStateImage(image);
  const std::uint32_t image_checksum = Crc32(text);
  const std::vector<std::string_view> parts = SplitText(text);
  std::vector<SnapshotChunk> chunks;
  chunks.reserve(parts.size());
  for (const std::string_view it : parts) {
    chunks.push_back({snapshot, image.applied_offset(), static_cast<std::uint32_t>(chunks.size()),
                      static_cast<std::uint32_t>(parts.size()), Crc32(it), image_checksum,
                      std::string(it)});
  }
  return chunks;
}

}  // namespace clementineloom::codec
