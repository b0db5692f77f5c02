#include "fakes/task_table.h"

#include <gtest/gtest.h>

#include "support/value_or_die.h"

namespace clementineloom::fakes {
namespace {

using platform::TaskKey;
using platform::TaskReport;
using platform::TaskState;
using testing_support::ValueOrDie;

constexpr Duration kTtl(1'500);
constexpr Duration kLease(10'000);

class TaskTableTest : public testing::Test {
 protected:
  static TaskKey Key(std::uint64_t job, std::uint64_t token) {
    return {JobId(job), 1, FencingToken(token)};
  }

  TaskReport Reserve(const TaskKey& key, std::uint16_t accelerators = 8) {
    return ValueOrDie([&] { return table_.Reserve({key, accelerators, kTtl}, now_); });
  }

  TaskReport Run(const TaskKey& key, const std::string& command) {
    Reserve(key);
    return ValueOrDie([&] { return table_.Start({key, command, kLease}, now_); });
  }

  TaskState StateOf(std::size_t n = 0) { return table_.List(now_).at(n).state; }

  template <class Operation>
  static ResultCode CodeOf(Operation operation) {
    const auto refusal = RefusalOf(operation);
    return refusal ? refusal->code : ResultCode::kOk;
  }

  TaskTable table_{8};
  Instant now_{Duration(1'000)};
};

// Guards against a worker that stays reserved after a scheduler crashed between reserve and start.
TEST_F(TaskTableTest, Start_AfterTtl_IsRefusedAsLapsed) {
  Reserve(Key(1, 10));
  now_ += kTtl;
  EXPECT_EQ(CodeOf([&] {
              return table_.Start({Key(1, 10), "", kLease}, now_);
            }),
            ResultCode::kReservationLapsed);
  EXPECT_EQ(Reserve(Key(2, 11)).state, TaskState::kReserved);
}

// Guards against a task that keeps running after the owner of its lease has failed.
TEST_F(TaskTableTest, List_AfterLeaseWithoutRenewal_ReportsCheckpointAndExpiry) {
  Run(Key(1, 10), "sleep_ms=60000");
  now_ += kLease;
  EXPECT_EQ(StateOf(), TaskState::kLeaseExpired);
  EXPECT_TRUE(table_.List(now_).front().is_checkpointed);
}

// Guards against a renewal that does not move the end of the lease.
TEST_F(TaskTableTest, Renew_BeforeExpiry_KeepsTaskRunning) {
  Run(Key(1, 10), "sleep_ms=60000");
  now_ += kLease - Duration(1);
  EXPECT_EQ(CodeOf([&] { return table_.Renew({Key(1, 10), kLease}, now_); }), ResultCode::kOk);
  now_ += kLease - Duration(1);
  EXPECT_EQ(StateOf(), TaskState::kRunning);
}

// Guards against two schedulers that run two attempts of one job at the same time.
TEST_F(TaskTableTest, Command_WithOlderToken_IsRefusedAsSuperseded) {
  Run(Key(1, 10), "sleep_ms=60000");
  Reserve(Key(1, 12));
  const TaskKey old = Key(1, 10);
  EXPECT_EQ(CodeOf([&] {
              return table_.Renew({old, kLease}, now_);
            }),
            ResultCode::kTokenSuperseded);
  EXPECT_EQ(CodeOf([&] {
              return table_.Start({old, "", kLease}, now_);
            }),
            ResultCode::kTokenSuperseded);
  EXPECT_EQ(CodeOf([&] { return table_.Stop(old, now_); }), ResultCode::kTokenSuperseded);
}

// Guards against a repeated start that runs the task again.
TEST_F(TaskTableTest, Start_WhenRepeated_DoesNotRestart) {
  Run(Key(1, 10), "sleep_ms=500");
  now_ += Duration(500);
  const TaskReport report = Run(Key(1, 10), "sleep_ms=500");
  EXPECT_EQ(report.state, TaskState::kSucceeded);
  EXPECT_EQ(report.run_time, Duration(500));
}

// Guards against a delayed start that runs a task after its stop was acknowledged.
TEST_F(TaskTableTest, Start_AfterStopOfUnknownJob_IsRefused) {
  const TaskKey key = Key(1, 10);
  EXPECT_EQ(CodeOf([&] { return table_.Stop(key, now_); }), ResultCode::kOk);
  EXPECT_EQ(Reserve(key).state, TaskState::kStopped);
  EXPECT_EQ(CodeOf([&] {
              return table_.Start({key, "", kLease}, now_);
            }),
            ResultCode::kWorkerRefused);
}

// Guards against more accelerators handed out than the worker has.
TEST_F(TaskTableTest, Reserve_WhenAcceleratorsAreHeld_IsRefused) {
  Reserve(Key(1, 10), 5);
  EXPECT_EQ(CodeOf([&] {
              return table_.Reserve({Key(2, 11), 4, kTtl}, now_);
            }),
            ResultCode::kAcceleratorsNotFree);
  EXPECT_EQ(Reserve(Key(2, 11), 3).state, TaskState::kReserved);
}

// Guards against a failing task that is reported as a success.
TEST_F(TaskTableTest, List_AfterFailCommand_ReportsFailure) {
  Run(Key(1, 10), "sleep_ms=20 fail");
  EXPECT_EQ(StateOf(), TaskState::kRunning);
  now_ += Duration(20);
  EXPECT_EQ(StateOf(), TaskState::kFailed);
}

}  // namespace
}  // namespace clementineloom::fakes
