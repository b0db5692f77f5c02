#include "codec/workload_record_codec.h"

#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <string_view>
#include <utility>
#include <variant>

#include "clementineloom/workload/job_limits.h"
#include "codec/detail/submission_json.h"
#include "codec/task_name.h"

namespace clementineloom::codec {
namespace {

namespace json = boost::json;
using workload::CancellationSet;
using workload::InstanceSet;
using workload::JobEndSet;
using workload::JobState;
using workload::KeyedValue;
using workload::LeaseEndSet;
using workload::OwnerPhase;
using workload::OwnerSet;
using workload::SubmissionSet;
using workload::TaskPhase;
using workload::TaskSet;
using workload::WorkloadRecord;

constexpr std::string_view kOwnerKey = "owner";
constexpr char kSubmission = 's';
constexpr char kCancellation = 'c';
constexpr char kTask = 't';
constexpr char kEnd = 'e';
constexpr char kInstance = 'i';
constexpr char kLeaseEnd = 'l';
// No worker grants a lease of an hour; a longer time is refused, because adding it to a time could
// overflow.
constexpr std::int64_t kMaxRemainingMs = 3'600'000;
// No deployment reaches these numbers. Greater ones are refused, because incrementing them could
// overflow.
constexpr std::uint64_t kMaxEpoch = std::uint64_t{1} << 62;
constexpr std::uint64_t kMaxRun = std::uint64_t{1} << 53;

std::string Key(char kind, const std::string& name) { return std::string(1, kind) + "/" + name; }

KeyedValue Encode(const SubmissionSet& it) {
  return {Key(kSubmission, it.job),
          it.submission ? json::serialize(detail::ToJson(*it.submission)) : std::string()};
}

KeyedValue Encode(const CancellationSet& it) {
  return {Key(kCancellation, it.job), it.is_set ? "true" : ""};
}

KeyedValue Encode(const TaskSet& it) {
  std::string value;
  if (it.record) {
    value =
        json::serialize(json::array{static_cast<int>(it.record->phase), it.record->run,
                                    it.record->worker, it.record->failures, it.record->checkpoint});
  }
  return {Key(kTask, TaskName(it.task)), std::move(value)};
}

KeyedValue Encode(const JobEndSet& it) {
  return {Key(kEnd, it.job), it.state ? std::to_string(static_cast<int>(*it.state)) : ""};
}

KeyedValue Encode(const OwnerSet& it) {
  return {std::string(kOwnerKey), json::serialize(json::array{it.owner.epoch, it.owner.instance,
                                                              static_cast<int>(it.owner.phase)})};
}

KeyedValue Encode(const InstanceSet& it) {
  return {Key(kInstance, it.instance.instance),
          json::serialize(json::array{it.instance.address, it.instance.cpu_millicores})};
}

KeyedValue Encode(const LeaseEndSet& it) {
  return {Key(kLeaseEnd, it.worker),
          it.end ? json::serialize(json::array{it.end->remaining.count(), it.end->address})
                 : std::string()};
}

Result<workload::LeaseEnd> ReadLeaseEnd(const json::value& value) {
  const json::array& row = value.as_array();
  const auto remaining_ms = row.at(0).to_number<std::int64_t>();
  if (remaining_ms < 0 || remaining_ms > kMaxRemainingMs) {
    return Refuse(ResultCode::kCorruptRecord, "end of a lease");
  }
  return workload::LeaseEnd{workload::Milliseconds(remaining_ms),
                            std::string(row.at(1).as_string())};
}

Result<workload::TaskRecord> ReadTask(const json::value& value) {
  constexpr std::size_t kMembers = 5;
  const json::array* row = value.if_array();
  if (row == nullptr || row->size() != kMembers) {
    return Refuse(ResultCode::kCorruptRecord, "task record");
  }
  workload::TaskRecord record;
  const auto phase = row->at(0).to_number<unsigned>();
  if (phase > static_cast<unsigned>(TaskPhase::kDone)) {
    return Refuse(ResultCode::kCorruptRecord, "task phase");
  }
  record.phase = static_cast<TaskPhase>(phase);
  record.run = row->at(1).to_number<std::uint64_t>();
  if (record.run > kMaxRun) {
    return Refuse(ResultCode::kCorruptRecord, "run number");
  }
  record.worker = row->at(2).as_string();
  record.failures = row->at(3).to_number<std::uint32_t>();
  record.checkpoint = row->at(4).as_string();
  return record;
}

Result<workload::OwnerRecord> ReadOwner(const json::value& value) {
  constexpr std::size_t kMembers = 3;
  const json::array* row = value.if_array();
  if (row == nullptr || row->size() != kMembers) {
    return Refuse(ResultCode::kCorruptRecord, "owner record");
  }
  const auto epoch = row->at(0).to_number<std::uint64_t>();
  const auto phase = row->at(2).to_number<unsigned>();
  if (epoch > kMaxEpoch || phase > static_cast<unsigned>(OwnerPhase::kResigned)) {
    return Refuse(ResultCode::kCorruptRecord, "owner record");
  }
  return workload::OwnerRecord{epoch, std::string(row->at(1).as_string()),
                               static_cast<OwnerPhase>(phase)};
}

Result<JobState> ReadEnd(const json::value& value) {
  const auto number = value.to_number<unsigned>();
  if (number > static_cast<unsigned>(JobState::kCancelled)) {
    return Refuse(ResultCode::kCorruptRecord, "job state");
  }
  return static_cast<JobState>(number);
}

// Whether the task's numbers are within the limits of a job; the task table allocates entries for
// all lower indices too, so that a huge index would exhaust memory.
bool IsWithinLimits(const workload::TaskId& task) {
  using workload::JobLimits;
  return task.index < JobLimits::kTasksPerStep && task.step.step < JobLimits::kSteps &&
         task.step.occurrence < JobLimits::kOccurrences;
}

Result<WorkloadRecord> DecodeItem(char kind, std::string name, const json::value* value) {
  switch (kind) {
    case kSubmission: {
      SubmissionSet record{name, std::nullopt};
      if (value != nullptr) {
        BOOST_LEAF_ASSIGN(record.submission, detail::ReadSubmission(std::move(name), *value));
      }
      return WorkloadRecord(std::move(record));
    }
    case kCancellation:
      return WorkloadRecord(CancellationSet{std::move(name), value != nullptr});
    case kTask: {
      const auto task = ParseTaskName(name);
      if (!task || !IsWithinLimits(*task)) {
        return Refuse(ResultCode::kCorruptRecord, "task name");
      }
      TaskSet record{*task, std::nullopt};
      if (value != nullptr) {
        BOOST_LEAF_ASSIGN(record.record, ReadTask(*value));
      }
      return WorkloadRecord(std::move(record));
    }
    case kEnd: {
      JobEndSet record{std::move(name), std::nullopt};
      if (value != nullptr) {
        BOOST_LEAF_ASSIGN(record.state, ReadEnd(*value));
      }
      return WorkloadRecord(std::move(record));
    }
    case kInstance: {
      if (value == nullptr) {
        return WorkloadRecord(InstanceSet{{std::move(name), {}, 0}});
      }
      const json::array& row = value->as_array();
      return WorkloadRecord(InstanceSet{{std::move(name), std::string(row.at(0).as_string()),
                                         row.at(1).to_number<std::int64_t>()}});
    }
    case kLeaseEnd: {
      LeaseEndSet record{std::move(name), std::nullopt};
      if (value != nullptr) {
        BOOST_LEAF_ASSIGN(record.end, ReadLeaseEnd(*value));
      }
      return WorkloadRecord(std::move(record));
    }
    default:
      return Refuse(ResultCode::kCorruptRecord, "unknown kind of record");
  }
}

// Throws on malformed JSON and, in Boost.JSON's accessors, on a member of the wrong type.
Result<WorkloadRecord> Decode(const KeyedValue& item) {
  json::value value;
  const bool has_value = !item.value.empty();
  if (has_value) {
    value = json::parse(item.value);
  }
  if (item.key == kOwnerKey) {
    BOOST_LEAF_AUTO(owner, ReadOwner(value));
    return WorkloadRecord(OwnerSet{std::move(owner)});
  }
  if (item.key.size() < 3 || item.key[1] != '/') {
    return Refuse(ResultCode::kCorruptRecord, "key " + item.key);
  }
  return DecodeItem(item.key.front(), item.key.substr(2), has_value ? &value : nullptr);
}

}  // namespace

KeyedValue EncodeWorkloadRecord(const WorkloadRecord& record) {
  return std::visit([](const auto& it) { return Encode(it); }, record);
}

Result<WorkloadRecord> DecodeWorkloadRecord(const KeyedValue& item) {
  try {
    return Decode(item);
  } catch (const std::exception& error) {
    return Refuse(ResultCode::kCorruptRecord, item.key + ": " + error.what());
  }
}

}  // namespace clementineloom::codec
