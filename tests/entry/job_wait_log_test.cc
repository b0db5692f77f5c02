#include <gtest/gtest.h>

#include <string>

#include "entry/cluster_test.h"
#include "standin/standin_cluster.h"
#include "support/log_file.h"

namespace clementineloom::entry {
namespace {

using standin::StandInCluster;
using testing_support::LogFile;
using workload::Milliseconds;

constexpr const char* kJob = "00000000000000a1";
constexpr const char* kPlain = R"([{"count":1,"cpu":1000,"memMb":10,"gpus":2}])";
constexpr const char* kUnknownLabel =
    R"([{"count":1,"cpu":1000,"memMb":10,"gpus":2,"requirements":"none has it"}])";
constexpr Milliseconds kRunTime{1'000};
constexpr Milliseconds kVeryLong{11'000};
constexpr Milliseconds kUntilSettled{20'000};

// The lines that tell why a job stands still or has failed.
class JobWaitLogTest : public ClusterTest {
 protected:
  const LogFile log_{"job_wait_log_test"};
};

// Guards against a job that stands still without a line that names its last event.
TEST_F(JobWaitLogTest, Job_WithNothingAtWorkForTenSeconds_HasALineWithItsLastEvent) {
  StandInCluster cluster(2, 1, kRunTime);
  (void)cluster.Submit(Owner(cluster), kJob, kUnknownLabel);
  cluster.RunFor(kVeryLong);
  EXPECT_TRUE(log_.Contains("event=job_waits job=00000000000000a1 occurrence=0 step=0"));
  EXPECT_TRUE(log_.Contains("last_event=submitted"));
}

// Guards against lines whose deciding fields stand behind the point at which records are cut off.
TEST_F(JobWaitLogTest, Lines_OfAJobThatStandsStill_BeginWithTheReason) {
  StandInCluster cluster(2, 1, kRunTime);
  (void)cluster.Submit(Owner(cluster), kJob, kUnknownLabel);
  cluster.RunFor(kVeryLong);
  EXPECT_TRUE(log_.Contains(
      " reason=room ends_in_ms=0 open=1 held=0 usable=0 reserved=0 full=0 unattached=0 overdue=1"));
  EXPECT_TRUE(log_.Contains(" reason=room ends_in_ms=0 may_place=1 last_event=submitted"));
}

// Guards against a line that is missing while the owner places nothing: a plan is then not made.
TEST_F(JobWaitLogTest, Job_WhileTheOwnerPlacesNothing_HasALineThatSaysSo) {
  StandInCluster cluster(1, 1, kRunTime);
  (void)cluster.Submit(Owner(cluster), kJob, kUnknownLabel);
  cluster.port(0).LoseAnswersOf("/log-read?topic=keyed.servers");
  cluster.RunFor(kVeryLong);
  EXPECT_TRUE(log_.Contains("may_place=0"));
}

// Guards against a failed job of which the log does not tell the attempts that were counted.
TEST_F(JobWaitLogTest, Job_ThatFails_HasALineWithItsAttempts) {
  StandInCluster cluster(2, 1, kRunTime);
  cluster.workers[0]->FailAll("failed");
  (void)cluster.Submit(Owner(cluster), kJob, kPlain);
  ASSERT_TRUE(cluster.RunUntilState(kJob, "failed", kUntilSettled));
  EXPECT_TRUE(
      log_.Contains("event=run_ended task=00000000000000a1.0.0.0 run=1 worker=w0 reason=1 "
                    "checkpoint=\"\" counts=1 failures=1"));
  EXPECT_TRUE(log_.Contains(
      "event=job_failed job=00000000000000a1 task=00000000000000a1.0.0.0 run=2 worker=w0 "
      "failures=2 max_attempts=2"));
}

}  // namespace
}  // namespace clementineloom::entry
