#include "codec/record_codec.h"

#include <array>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <optional>
#include <utility>
#include <vector>

#include "codec/detail/config_edit_json.h"
#include "codec/detail/decode_record.h"
#include "codec/detail/enum_names.h"
#include "codec/detail/json_reader.h"
#include "codec/detail/model_json.h"

namespace clementineloom::codec {
namespace {

namespace json = boost::json;
using detail::JsonReader;
using detail::NameOf;
using detail::ToJson;

// One pair of functions for each record type: Encode returns its members, Decode reads them.

json::object Encode(const WorkerRegistered& body) {
  return {{"type", "worker_registered"}, {"worker", ToJson(body.worker)}};
}

Result<RecordBody> DecodeWorkerRegistered(const JsonReader& json) {
  BOOST_LEAF_AUTO(object, json.Object("worker"));
  BOOST_LEAF_AUTO(worker, detail::ReadWorker(object));
  return RecordBody(WorkerRegistered{std::move(worker)});
}

json::object Encode(const WorkerConditionChanged& body) {
  return {{"type", "worker_condition_changed"},
          {"worker", body.worker},
          {"condition", NameOf(body.condition)},
          {"reason", body.reason}};
}

Result<RecordBody> DecodeWorkerConditionChanged(const JsonReader& json) {
  BOOST_LEAF_AUTO(worker, json.String("worker"));
  BOOST_LEAF_AUTO(name, json.String("condition"));
  BOOST_LEAF_AUTO(condition, detail::ParseEnum<WorkerCondition>(name));
  BOOST_LEAF_AUTO(reason, json.String("reason"));
  return RecordBody(WorkerConditionChanged{std::move(worker), condition, std::move(reason)});
}

json::object Encode(const ConfigChanged& body) {
  json::array edits;
  for (const ConfigEdit& it : body.edits) {
    edits.push_back(detail::ToJson(it));
  }
  return {{"type", "config_changed"},
          {"base_revision", body.base_revision.value()},
          {"edits", std::move(edits)},
          {"author", body.author}};
}

Result<RecordBody> DecodeConfigChanged(const JsonReader& json) {
  BOOST_LEAF_AUTO(revision, json.Number<std::uint64_t>("base_revision"));
  BOOST_LEAF_AUTO(array, json.Array("edits"));
  std::vector<ConfigEdit> edits;
  for (const json::value& it : *array) {
    BOOST_LEAF_AUTO(edit, detail::ReadConfigEdit(it));
    edits.push_back(std::move(edit));
  }
  BOOST_LEAF_AUTO(author, json.String("author"));
  return RecordBody(ConfigChanged{ConfigRevision(revision), std::move(edits), std::move(author)});
}

json::object Encode(const JobSubmitted& body) {
  return {{"type", "job_submitted"},
          {"key", body.key},
          {"spec", ToJson(body.spec)},
          {"submitted_at_ms", body.submitted_at.time_since_epoch().count()}};
}

Result<RecordBody> DecodeJobSubmitted(const JsonReader& json) {
  BOOST_LEAF_AUTO(key, json.String("key"));
  BOOST_LEAF_AUTO(object, json.Object("spec"));
  BOOST_LEAF_AUTO(spec, detail::ReadJobSpec(object));
  BOOST_LEAF_AUTO(submitted_at, json.Signed("submitted_at_ms"));
  return RecordBody(JobSubmitted{std::move(key), std::move(spec), Instant(Duration(submitted_at))});
}

json::object Encode(const JobsCancelled& body) {
  json::array jobs;
  for (const JobId it : body.jobs) {
    jobs.push_back(it.value());
  }
  return {{"type", "jobs_cancelled"}, {"jobs", std::move(jobs)}};
}

Result<RecordBody> DecodeJobsCancelled(const JsonReader& json) {
  BOOST_LEAF_AUTO(array, json.Array("jobs"));
  std::vector<JobId> jobs;
  for (const json::value& it : *array) {
    boost::system::error_code ec;
    const auto job = it.to_number<std::uint64_t>(ec);
    if (ec) {
      return Refuse(ResultCode::kWrongType, "jobs");
    }
    jobs.emplace_back(job);
  }
  return RecordBody(JobsCancelled{std::move(jobs)});
}

json::object Encode(const JobsPlaced& body) {
  json::array placements;
  for (const Placement& it : body.placements) {
    placements.push_back(ToJson(it));
  }
  return {{"type", "jobs_placed"},
          {"decided_at", body.decided_at.value()},
          {"placements", std::move(placements)}};
}

Result<RecordBody> DecodeJobsPlaced(const JsonReader& json) {
  BOOST_LEAF_AUTO(decided_at, json.Number<std::uint64_t>("decided_at"));
  BOOST_LEAF_AUTO(array, json.Array("placements"));
  std::vector<Placement> placements;
  for (const json::value& it : *array) {
    BOOST_LEAF_AUTO(reader, JsonReader::Of(it));
    BOOST_LEAF_AUTO(placement, detail::ReadPlacement(reader));
    placements.push_back(std::move(placement));
  }
  return RecordBody(JobsPlaced{LogOffset(decided_at), std::move(placements)});
}

json::object EncodeAttempt(std::string_view type, JobId job, std::uint32_t attempt) {
  return {{"type", type}, {"job", job.value()}, {"attempt", attempt}};
}

Result<std::pair<JobId, std::uint32_t>> ReadAttempt(const JsonReader& json) {
  BOOST_LEAF_AUTO(job, json.Number<std::uint64_t>("job"));
  BOOST_LEAF_AUTO(attempt, json.Number<std::uint32_t>("attempt"));
  return std::pair(JobId(job), attempt);
}

json::object Encode(const JobStarted& body) {
  return EncodeAttempt("job_started", body.job, body.attempt);
}

Result<RecordBody> DecodeJobStarted(const JsonReader& json) {
  BOOST_LEAF_AUTO(it, ReadAttempt(json));
  return RecordBody(JobStarted{it.first, it.second});
}

json::object Encode(const StopRequested& body) {
  json::object object = EncodeAttempt("stop_requested", body.job, body.attempt);
  object.emplace("reason", NameOf(body.reason));
  if (body.suspect) {
    object.emplace("suspect", body.suspect->value());
  }
  return object;
}

Result<RecordBody> DecodeStopRequested(const JsonReader& json) {
  BOOST_LEAF_AUTO(it, ReadAttempt(json));
  BOOST_LEAF_AUTO(name, json.String("reason"));
  BOOST_LEAF_AUTO(reason, detail::ParseEnum<StopReason>(name));
  std::optional<WorkerId> suspect;
  if (json.Has("suspect")) {
    BOOST_LEAF_AUTO(worker, json.Number<std::uint32_t>("suspect"));
    suspect.emplace(worker);
  }
  return RecordBody(StopRequested{it.first, it.second, reason, suspect});
}

json::object Encode(const JobStopped& body) {
  return EncodeAttempt("job_stopped", body.job, body.attempt);
}

Result<RecordBody> DecodeJobStopped(const JsonReader& json) {
  BOOST_LEAF_AUTO(it, ReadAttempt(json));
  return RecordBody(JobStopped{it.first, it.second});
}

json::object Encode(const JobFinished& body) {
  json::object object = EncodeAttempt("job_finished", body.job, body.attempt);
  object.emplace("outcome", NameOf(body.outcome));
  object.emplace("run_time_ms", body.run_time.count());
  return object;
}

Result<RecordBody> DecodeJobFinished(const JsonReader& json) {
  BOOST_LEAF_AUTO(it, ReadAttempt(json));
  BOOST_LEAF_AUTO(name, json.String("outcome"));
  BOOST_LEAF_AUTO(outcome, detail::ParseEnum<JobOutcome>(name));
  BOOST_LEAF_AUTO(run_time, json.Signed("run_time_ms"));
  return RecordBody(JobFinished{it.first, it.second, outcome, Duration(run_time)});
}

json::object Encode(const JobRefused& body) {
  return {{"type", "job_refused"},
          {"job", body.job.value()},
          {"code", static_cast<std::uint16_t>(body.code)}};
}

Result<RecordBody> DecodeJobRefused(const JsonReader& json) {
  BOOST_LEAF_AUTO(job, json.Number<std::uint64_t>("job"));
  BOOST_LEAF_AUTO(code, json.Number<std::uint16_t>("code"));
  return RecordBody(JobRefused{JobId(job), static_cast<ResultCode>(code)});
}

struct Decoder {
  std::string_view type;
  Result<RecordBody> (*decode)(const JsonReader&);
};

constexpr std::array kDecoders{
    Decoder{"worker_registered", DecodeWorkerRegistered},
    Decoder{"worker_condition_changed", DecodeWorkerConditionChanged},
    Decoder{"config_changed", DecodeConfigChanged},
    Decoder{"job_submitted", DecodeJobSubmitted},
    Decoder{"jobs_cancelled", DecodeJobsCancelled},
    Decoder{"jobs_placed", DecodeJobsPlaced},
    Decoder{"job_started", DecodeJobStarted},
    Decoder{"stop_requested", DecodeStopRequested},
    Decoder{"job_stopped", DecodeJobStopped},
    Decoder{"job_finished", DecodeJobFinished},
    Decoder{"job_refused", DecodeJobRefused},
};

Result<Record> Decode(const JsonReader& json) {
  BOOST_LEAF_AUTO(version, json.Number<std::uint32_t>("v"));
  if (version > kRecordSchemaVersion) {
    return Refuse(ResultCode::kNewerSchema, "v" + std::to_string(version));
  }
  BOOST_LEAF_AUTO(id, json.String("id"));
  BOOST_LEAF_AUTO(type, json.String("type"));
  for (const Decoder& it : kDecoders) {
    if (it.type == type) {
      BOOST_LEAF_AUTO(body, it.decode(json));
      return Record{std::move(id), std::move(body)};
    }
  }
  return Refuse(ResultCode::kCorruptRecord, "type " + type);
}

}  // namespace

std::string EncodeRecord(const Record& record) {
  json::object object{{"v", kRecordSchemaVersion}, {"id", record.id}};
  const json::object body = std::visit([](const auto& it) { return Encode(it); }, record.body);
  for (const auto& it : body) {
    object.insert(it);
  }
  return json::serialize(object);
}

Result<Record> DecodeRecord(std::string_view text) {
  return detail::DecodeRecordText(text, Decode);
}

}  // namespace clementineloom::codec
