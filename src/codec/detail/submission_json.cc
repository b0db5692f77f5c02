#include "codec/detail/submission_json.h"

#include <boost/json/array.hpp>
#include <boost/json/value_from.hpp>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "codec/detail/json_reader.h"

namespace clementineloom::codec::detail {
namespace {

namespace json = boost::json;
using workload::JobSubmission;
using workload::Queue;
using workload::StepSpec;

// Writes members that differ from their default, which keeps most records short.
class SparseWriter {
 public:
  template <class T>
  void operator()(std::string_view key, const T& member) {
    if (member != T{}) {
      object_[key] = json::value_from(member);
    }
  }

  json::object Take() { return std::move(object_); }

 private:
  json::object object_;
};

// Reads optional members and stops at the first one that is malformed.
class SparseReader {
 public:
  explicit SparseReader(const JsonReader& json) : json_(json) {}

  template <class T>
  void operator()(std::string_view key, T& member) {
    if (status_ && json_.Has(key)) {
      status_ = Get(key, member);
    }
  }

  Result<void> TakeStatus() { return std::move(status_); }

 private:
  Result<void> Get(std::string_view key, std::string& member) const {
    BOOST_LEAF_ASSIGN(member, json_.String(key));
    return {};
  }
  Result<void> Get(std::string_view key, bool& member) const {
    BOOST_LEAF_ASSIGN(member, json_.Bool(key));
    return {};
  }
  Result<void> Get(std::string_view key, std::uint32_t& member) const {
    BOOST_LEAF_ASSIGN(member, json_.Number<std::uint32_t>(key));
    return {};
  }
  Result<void> Get(std::string_view key, std::int64_t& member) const {
    BOOST_LEAF_ASSIGN(member, json_.Signed(key));
    return {};
  }
  Result<void> Get(std::string_view key, std::vector<std::uint32_t>& member) const {
    BOOST_LEAF_AUTO(array, json_.Array(key));
    for (const json::value& it : *array) {
      if (!it.is_int64() && !it.is_uint64()) {
        return Refuse(ResultCode::kWrongType, std::string(key));
      }
      member.push_back(it.to_number<std::uint32_t>());
    }
    return {};
  }

  const JsonReader& json_;
  Result<void> status_;
};

// The writer and the reader share these lists of members, so that neither can omit one.

template <class Visitor, class AnyQueue>
void VisitQueue(Visitor& visit, AnyQueue& queue, std::int64_t& stretch_percent) {
  visit("name", queue.name);
  visit("service", queue.service);
  visit("priority", queue.priority);
  visit("max_attempts", queue.max_attempts);
  visit("stretch_percent", stretch_percent);
  visit("target_ms", queue.target_latency_ms);
  visit("advice", queue.needs_advice);
  visit("advice_decision_ms", queue.advice_times.decision_ms);
  visit("advice_per_worker_ms", queue.advice_times.per_worker_ms);
}

template <class Visitor, class AnyStep>
void VisitStep(Visitor& visit, AnyStep& step) {
  visit("tasks", step.task_count);
  visit("cpu", step.per_task.cpu_millicores);
  visit("memory_mb", step.per_task.memory_mb);
  visit("accelerators", step.per_task.accelerators);
  visit("estimate_ms", step.estimate_ms);
  visit("after", step.depends_on);
  visit("checkpoints", step.saves_checkpoints);
  visit("gang", step.is_gang);
  visit("one_rack", step.prefers_one_rack);
  visit("label", step.required_label);
  visit("data_rack", step.data_rack);
  visit("max_per_worker", step.max_per_worker);
  visit("duplicates", step.allows_duplicates);
  visit("endless", step.runs_until_cancelled);
  visit("image", step.image);
  visit("tail_ms", step.tail_target_ms);
  visit("fills", step.fills_idle_cpu);
  visit("max_unavailable", step.max_unavailable);
}

template <class Visitor, class AnySubmission>
void VisitSubmission(Visitor& visit, AnySubmission& submission) {
  visit("team", submission.team);
  visit("accepted_at_ms", submission.accepted_at_ms);
  visit("payload", submission.payload);
  visit("occurrences", submission.occurrences);
  visit("first_run_at_ms", submission.first_run_at_ms);
  visit("interval_ms", submission.interval_ms);
}

constexpr double kPercent = 100;

json::object ToJson(const Queue& queue) {
  auto stretch_percent = static_cast<std::int64_t>(queue.stretch * kPercent);
  SparseWriter writer;
  VisitQueue(writer, queue, stretch_percent);
  return writer.Take();
}

Result<Queue> ReadQueue(const JsonReader& json) {
  Queue queue;
  // The writer omits max_attempts where it is 0, which is not the member's default.
  queue.max_attempts = 0;
  std::int64_t stretch_percent = 0;
  SparseReader reader(json);
  VisitQueue(reader, queue, stretch_percent);
  BOOST_LEAF_CHECK(reader.TakeStatus());
  queue.stretch = static_cast<double>(stretch_percent) / kPercent;
  return queue;
}

json::object ToJson(const StepSpec& step) {
  SparseWriter writer;
  VisitStep(writer, step);
  return writer.Take();
}

Result<StepSpec> ReadStep(const json::value& value) {
  BOOST_LEAF_AUTO(json, JsonReader::Of(value));
  StepSpec step;
  SparseReader reader(json);
  VisitStep(reader, step);
  BOOST_LEAF_CHECK(reader.TakeStatus());
  return step;
}

}  // namespace

json::object ToJson(const JobSubmission& submission) {
  SparseWriter writer;
  VisitSubmission(writer, submission);
  json::object result = writer.Take();
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
  JobSubmission submission;
  submission.id = std::move(id);
  SparseReader reader(json);
  VisitSubmission(reader, submission);
  BOOST_LEAF_CHECK(reader.TakeStatus());
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
