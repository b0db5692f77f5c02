#include "codec/workload_record_codec.h"

#include <gtest/gtest.h>

#include "codec/task_name.h"

namespace clementineloom::codec {
namespace {

using workload::JobSubmission;
using workload::KeyedValue;
using workload::WorkloadRecord;

class WorkloadRecordCodecTest : public testing::Test {
 protected:
  static WorkloadRecord Decode(const KeyedValue& item) {
    return CatchRefusal([&] { return DecodeWorkloadRecord(item); },
                        [](const Refusal& refusal) -> WorkloadRecord {
                          ADD_FAILURE() << refusal.detail;
                          return workload::CancellationSet{};
                        });
  }
  static ResultCode CodeOf(const KeyedValue& item) {
    const auto refusal = RefusalOf([&]() -> Result<void> {
      BOOST_LEAF_CHECK(DecodeWorkloadRecord(item));
      return {};
    });
    return refusal ? refusal->code : ResultCode::kOk;
  }
};

// Guards against fields that are lost when a record is encoded and another instance decodes it.
TEST_F(WorkloadRecordCodecTest, Decode_OfEveryRecordType_ReturnsEqualRecord) {
  JobSubmission job;
  job.id = "00000000000000a1";
  job.queue = {"urgent", "", "", "inspect", 2, 3, 1.5, 250, false, true, {700, 50}};
  job.team = "t";
  job.accepted_at_ms = 12;
  job.payload = "x";
  job.occurrences = 3;
  job.first_run_at_ms = 99;
  job.interval_ms = 7;
  workload::StepSpec step;
  step.task_count = 4;
  step.per_task = {1, 2, 3};
  step.estimate_ms = 5;
  step.depends_on = {0, 1};
  step.saves_checkpoints = true;
  step.is_gang = true;
  step.prefers_one_rack = true;
  step.required_label = "a";
  step.data_rack = "r";
  step.max_per_worker = 6;
  step.allows_duplicates = true;
  step.runs_until_cancelled = true;
  step.image = "i";
  step.tail_target_ms = 8;
  step.fills_idle_cpu = true;
  step.max_unavailable = 9;
  job.steps = {step};
  const workload::TaskId task{{job.id, 1, 2}, 3};
  const std::vector<WorkloadRecord> records{
      workload::SubmissionSet{job.id, job},
      workload::SubmissionSet{job.id, std::nullopt},
      workload::CancellationSet{job.id, true},
      workload::CancellationSet{job.id, false},
      workload::TaskSet{task, workload::TaskRecord{workload::TaskPhase::kPlaced, 4, "w", 1, "c"}},
      workload::TaskSet{task, std::nullopt},
      workload::JobEndSet{job.id, workload::JobState::kFailed},
      workload::JobEndSet{job.id, std::nullopt},
      workload::OwnerSet{{5, "e", workload::OwnerPhase::kResigned}},
      workload::InstanceSet{{"e", "10.0.0.1:80", 250}},
      workload::LeaseEndSet{"w", workload::LeaseEnd{workload::Milliseconds(4'200), "10.0.0.2:80"}},
      workload::LeaseEndSet{"w", std::nullopt}};
  for (const WorkloadRecord& it : records) {
    EXPECT_EQ(Decode(EncodeWorkloadRecord(it)), it) << it.index();
  }
}

// Guards against a damaged record that crashes every process that reads it.
TEST_F(WorkloadRecordCodecTest, Decode_OfDamagedRecords_IsRefused) {
  EXPECT_EQ(CodeOf({"", ""}), ResultCode::kCorruptRecord);
  EXPECT_EQ(CodeOf({"x/job", "1"}), ResultCode::kCorruptRecord);
  EXPECT_EQ(CodeOf({"t/job", "[1,1,\"w\",0,\"\"]"}), ResultCode::kCorruptRecord);
  EXPECT_EQ(CodeOf({"t/job.0.0.1", "[9,1,\"w\",0,\"\"]"}), ResultCode::kCorruptRecord);
  EXPECT_EQ(CodeOf({"t/job.0.0.1", "[1,\"1\",\"w\",0,\"\"]"}), ResultCode::kCorruptRecord);
  EXPECT_EQ(CodeOf({"owner", "{}"}), ResultCode::kCorruptRecord);
  EXPECT_EQ(CodeOf({"e/job", "7"}), ResultCode::kCorruptRecord);
  EXPECT_EQ(CodeOf({"l/worker", R"([-1,"10.0.0.2:80"])"}), ResultCode::kCorruptRecord);
  EXPECT_EQ(CodeOf({"l/worker", R"([9223372036854775807,"10.0.0.2:80"])"}),
            ResultCode::kCorruptRecord);
  EXPECT_EQ(CodeOf({"l/worker", "[1]"}), ResultCode::kCorruptRecord);
  EXPECT_NE(CodeOf({"s/job", "{\"queue\":{}}"}), ResultCode::kOk);
  EXPECT_NE(CodeOf({"s/job", R"({"queue":{"priority":"x"},"steps":[]})"}), ResultCode::kOk);
  EXPECT_NE(CodeOf({"s/job", R"({"queue":{},"steps":[{"after":["x"],"tasks":1}]})"}),
            ResultCode::kOk);
}

// Guards against two tasks with the same name, and against names that cannot be parsed back.
TEST_F(WorkloadRecordCodecTest, TaskName_OfATask_IsReadBack) {
  const workload::TaskId task{{"a.b", 1, 2}, 3};
  EXPECT_EQ(TaskName(task), "a.b.1.2.3");
  EXPECT_EQ(ParseTaskName("a.b.1.2.3"), task);
  EXPECT_FALSE(ParseTaskName("a.1.2").has_value());
  EXPECT_FALSE(ParseTaskName("a.1.2.x").has_value());
}

// Guards against records of other writers that crash every instance that loads them (a task index
// near 2^32 makes it allocate that many task records), or after which no instance can own the
// workers (the greatest epoch cannot be incremented).
TEST_F(WorkloadRecordCodecTest, Decode_OfNumbersOutOfRange_IsRefused) {
  EXPECT_EQ(CodeOf({"t/job.0.0.4294967295", R"([1,1,"w",0,""])"}), ResultCode::kCorruptRecord);
  EXPECT_EQ(CodeOf({"t/job.0.4294967295.0", R"([1,1,"w",0,""])"}), ResultCode::kCorruptRecord);
  EXPECT_EQ(CodeOf({"t/job.4294967295.0.0", R"([1,1,"w",0,""])"}), ResultCode::kCorruptRecord);
  EXPECT_EQ(CodeOf({"t/job.0.0.0", R"([1,18446744073709551615,"w",0,""])"}),
            ResultCode::kCorruptRecord);
  EXPECT_EQ(CodeOf({"owner", R"([18446744073709551615,"i",0])"}), ResultCode::kCorruptRecord);
  EXPECT_EQ(CodeOf({"owner", R"([1,"i",99])"}), ResultCode::kCorruptRecord);
  EXPECT_EQ(CodeOf({"t/job.0.0.9999", R"([1,1,"w",0,""])"}), ResultCode::kOk);
}

// Guards against a stack overflow in the decoder.
TEST_F(WorkloadRecordCodecTest, Decode_OfDeeplyNestedValues_IsRefused) {
  const std::string nested(100'000, '[');
  for (const char* key : {"s/job", "t/job.0.0.0", "c/job", "e/job", "i/x", "owner"}) {
    EXPECT_EQ(CodeOf({key, nested + std::string(nested.size(), ']')}), ResultCode::kCorruptRecord)
        << key;
  }
}

}  // namespace
}  // namespace clementineloom::codec
