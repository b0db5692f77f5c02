#include "codec/detail/submission_json.h"

#include <boost/json/array.hpp>
#include <boost/json/value_from.hpp>
#include <utility>

#include "codec/detail/json_reader.h"

namespace clementineloom::codec::detail {
namespace {

namespace json = boost::json;
using workload::JobSubmission;
using workload::Queue;
using workload::StepSpec;

// Writes members that differ from their default, which keeps most records short.
class SparseObject {
 public:
  template <class T>
  void Put(std::string_view key, const T& value) {
    if (value != T{}) {
      object_[key] = json::value_from(value);
    }
  }

  json::object Take() { return std::move(object_); }

 private:
  json::object object_;
};

// Reads members that may have been left out.
class SparseReader {
 public:
  explicit SparseReader(const JsonReader& json) : json_(json) {}

  Result<void> Get(std::string_view key, std::string& member) const {
    if (json_.Has(key)) {
      BOOST_LEAF_ASSIGN(member, json_.String(key));
    }
    return {};
  }
  Result<void> Get(std::string_view key, bool& member) const {
    if (json_.Has(key)) {
      BOOST_LEAF_ASSIGN(member, json_.Bool(key));
    }
    return {};
  }
  Result<void> Get(std::string_view key, std::uint32_t& member) const {
    if (json_.Has(key)) {
      BOOST_LEAF_ASSIGN(member, json_.Number<std::uint32_t>(key));
    }
    return {};
  }
  Result<void> Get(std::string_view key, std::int64_t& member) const {
    if (json_.Has(key)) {
      BOOST_LEAF_ASSIGN(member, json_.Signed(key));
    }
    return {};
  }

 private:
  const JsonReader& json_;
};

json::object ToJson(const Queue& queue) {
  SparseObject object;
  object.Put("name", queue.name);
  object.Put("service", queue.service);
  object.Put("priority", queue.priority);
  object.Put("max_attempts", queue.max_attempts);
  object.Put("stretch_percent", static_cast<std::int64_t>(queue.stretch * 100));
  object.Put("target_ms", queue.target_latency_ms);
  object.Put("advice", queue.needs_advice);
  return object.Take();
}

Result<Queue> ReadQueue(const JsonReader& json) {
  const SparseReader reader(json);
  Queue queue;
  queue.max_attempts = 0;
  std::int64_t stretch_percent = 0;
  BOOST_LEAF_CHECK(reader.Get("name", queue.name));
  BOOST_LEAF_CHECK(reader.Get("service", queue.service));
  BOOST_LEAF_CHECK(reader.Get("priority", queue.priority));
  BOOST_LEAF_CHECK(reader.Get("max_attempts", queue.max_attempts));
  BOOST_LEAF_CHECK(reader.Get("stretch_percent", stretch_percent));
  BOOST_LEAF_CHECK(reader.Get("target_ms", queue.target_latency_ms));
  BOOST_LEAF_CHECK(reader.Get("advice", queue.needs_advice));
  queue.stretch = static_cast<double>(stretch_percent) / 100;
  return queue;
}

json::object ToJson(const StepSpec& step) {
  SparseObject object;
  object.Put("tasks", step.task_count);
  object.Put("cpu", step.per_task.cpu_millicores);
  object.Put("memory_mb", step.per_task.memory_mb);
  object.Put("accelerators", step.per_task.accelerators);
  object.Put("estimate_ms", step.estimate_ms);
  object.Put("after", step.depends_on);
  object.Put("checkpoints", step.saves_checkpoints);
  object.Put("gang", step.is_gang);
  object.Put("one_rack", step.prefers_one_rack);
  object.Put("label", step.required_label);
  object.Put("data_rack", step.data_rack);
  object.Put("max_per_worker", step.max_per_worker);
  object.Put("duplicates", step.allows_duplicates);
  object.Put("endless", step.runs_until_cancelled);
  object.Put("image", step.image);
  object.Put("tail_ms", step.tail_target_ms);
  object.Put("fills", step.fills_idle_cpu);
  object.Put("max_unavailable", step.max_unavailable);
  return object.Take();
}

Result<std::vector<std::uint32_t>> ReadDependencies(const JsonReader& json) {
  std::vector<std::uint32_t> steps;
  if (!json.Has("after")) {
    return steps;
  }
  BOOST_LEAF_AUTO(array, json.Array("after"));
  for (const json::value& it : *array) {
    if (!it.is_int64() && !it.is_uint64()) {
      return Refuse(ResultCode::kWrongType, "after");
    }
    steps.push_back(it.to_number<std::uint32_t>());
  }
  return steps;
}

Result<StepSpec> ReadStep(const json::value& value) {
  BOOST_LEAF_AUTO(json, JsonReader::Of(value));
  const SparseReader reader(json);
  StepSpec step;
  BOOST_LEAF_CHECK(reader.Get("tasks", step.task_count));
  BOOST_LEAF_CHECK(reader.Get("cpu", step.per_task.cpu_millicores));
  BOOST_LEAF_CHECK(reader.Get("memory_mb", step.per_task.memory_mb));
  BOOST_LEAF_CHECK(reader.Get("accelerators", step.per_task.accelerators));
  BOOST_LEAF_CHECK(reader.Get("estimate_ms", step.estimate_ms));
  BOOST_LEAF_ASSIGN(step.depends_on, ReadDependencies(json));
  BOOST_LEAF_CHECK(reader.Get("checkpoints", step.saves_checkpoints));
  BOOST_LEAF_CHECK(reader.Get("gang", step.is_gang));
  BOOST_LEAF_CHECK(reader.Get("one_rack", step.prefers_one_rack));
  BOOST_LEAF_CHECK(reader.Get("label", step.required_label));
  BOOST_LEAF_CHECK(reader.Get("data_rack", step.data_rack));
  BOOST_LEAF_CHECK(reader.Get("max_per_worker", step.max_per_worker));
  BOOST_LEAF_CHECK(reader.Get("duplicates", step.allows_duplicates));
  BOOST_LEAF_CHECK(reader.Get("endless", step.runs_until_cancelled));
  BOOST_LEAF_CHECK(reader.Get("image", step.image));
  BOOST_LEAF_CHECK(reader.Get("tail_ms", step.tail_target_ms));
  BOOST_LEAF_CHECK(reader.Get("fills", step.fills_idle_cpu));
  BOOST_LEAF_CHECK(reader.Get("max_unavailable", step.max_unavailable));
  return step;
}

}  // namespace

json::object ToJson(const JobSubmission& submission) {
  SparseObject object;
  object.Put("team", submission.team);
  object.Put("accepted_at_ms", submission.accepted_at_ms);
  object.Put("payload", submission.payload);
  object.Put("occurrences", submission.occurrences);
  object.Put("first_run_at_ms", submission.first_run_at_ms);
  object.Put("interval_ms", submission.interval_ms);
  json::object result = object.Take();
  result["queue"] = ToJson(submission.queue);
  json::array steps;
  for (const StepSpec& it : submission.steps) {
    steps.push_back(ToJson(it));
  }
  result["steps"] = std::move(steps);
  return result;
}

Result<JobSubmission> ReadSubmission(std::string id, const json::value& value) {
  BOOST_LEAF_AUTO(json, JsonReader::Of(value));
  const SparseReader reader(json);
  JobSubmission submission;
  submission.id = std::move(id);
  BOOST_LEAF_CHECK(reader.Get("team", submission.team));
  BOOST_LEAF_CHECK(reader.Get("accepted_at_ms", submission.accepted_at_ms));
  BOOST_LEAF_CHECK(reader.Get("payload", submission.payload));
  BOOST_LEAF_CHECK(reader.Get("occurrences", submission.occurrences));
  BOOST_LEAF_CHECK(reader.Get("first_run_at_ms", submission.first_run_at_ms));
  BOOST_LEAF_CHECK(reader.Get("interval_ms", submission.interval_ms));
  BOOST_LEAF_AUTO(queue, json.Object("queue"));
  BOOST_LEAF_ASSIGN(submission.queue, ReadQueue(queue));
  BOOST_LEAF_AUTO(steps, json.Array("steps"));
  for (const json::value& it : *steps) {
    BOOST_LEAF_AUTO(step, ReadStep(it));
    submission.steps.push_back(std::move(step));
  }
  return submission;
}

}  // namespace clementineloom::codec::detail
