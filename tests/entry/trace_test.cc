#include <gtest/gtest.h>

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <sstream>
#include <string>
#include <vector>

#include "ctl/loomctl.h"
#include "entry/cluster_test.h"
#include "standin/instance_logs.h"
#include "standin/standin_cluster.h"

namespace clementineloom::entry {
namespace {

using standin::InstanceLogs;
using standin::StandInCluster;
using standin::StandInStore;
using workload::Milliseconds;

constexpr const char* kJob = "00000000000000a1";
constexpr const char* kTask = "00000000000000a1.0.0.0";
constexpr const char* kOneTask = R"([{"count":1,"cpu":1000,"memMb":10,"gpus":1}])";
constexpr int kOk = 200;
constexpr int kUnavailable = 503;
constexpr int kOutcomeUnknown = 504;
constexpr std::size_t kInstances = 3;
constexpr Milliseconds kRunTime{4'000};

/// Three instances that write their logs to files; `loomctl trace` reads only those. Callers use an
/// instance that does not own the workers.
class TraceTest : public ClusterTest {
 protected:
  TraceTest() : owner_(Owner(cluster_)), front_(owner_ == 0 ? 1 : 0) {}

  // Runs `loomctl trace` and keeps its report.
  ctl::ExitCode Trace(const std::string& job) {
    std::vector<std::string> words{"trace", job, "--json", "--logs"};
    for (const std::string& it : logs_.Files()) {
      words.push_back(it);
    }
    std::ostringstream out;
    std::ostringstream err;
    const ctl::ExitCode code = ctl::RunLoomctl(words, out, err);
    report_ = code == ctl::ExitCode::kOk ? boost::json::parse(out.str()).as_object()
                                         : boost::json::object();
    error_ = err.str();
    return code;
  }
  [[nodiscard]] std::string Get(const std::string& key) const {
    const auto* value = report_.if_contains(key);
    return value == nullptr ? std::string() : std::string(value->as_string());
  }
  [[nodiscard]] bool CauseHas(const std::string& text) const {
    return Get("cause").find(text) != std::string::npos;
  }
  static std::string NameOf(std::size_t instance) { return StandInCluster::InstanceName(instance); }

  int Submit(std::size_t instance, const std::string& job = kJob) {
    const auto answer = cluster_.Submit(instance, job, kOneTask);
    return answer ? answer->status : 0;
  }
  // Cuts all instances off from an address.
  void CutAll(const std::string& address) {
    for (std::size_t n = 0; n < kInstances; ++n) {
      cluster_.port(n).Cut(address);
    }
  }
  // The worker that runs the task of kJob.
  [[nodiscard]] std::size_t RunningWorker() const {
    const auto running = cluster_.WorkersRunning(kTask);
    EXPECT_EQ(running.size(), 1U);
    return running.empty() ? 0 : running.front();
  }

  StandInCluster cluster_{kInstances, 3, kRunTime};
  InstanceLogs logs_{cluster_.world, "trace"};
  const std::size_t owner_;
  const std::size_t front_;
  boost::json::object report_;
  std::string error_;
};

// Guards against a refused submission whose logs do not tell that the store was away.
TEST_F(TraceTest, Submission_WhileTheStoreIsAway_IsTracedToTheStore) {
  CutAll(StandInStore::kAddress);
  cluster_.RunFor(Milliseconds(3'000));
  ASSERT_EQ(Submit(front_), kUnavailable);
  ASSERT_EQ(Trace(kJob), ctl::ExitCode::kOk) << error_;
  EXPECT_EQ(Get("outcome"), "refused");
  EXPECT_EQ(Get("event"), "request_refused");
  EXPECT_EQ(Get("instance"), NameOf(front_));
  EXPECT_TRUE(CauseHas("5001 log_unavailable: the store cannot be reached")) << Get("cause");
}

// Guards against a refused read whose logs do not tell how old the view was.
TEST_F(TraceTest, Read_FromAStaleView_IsTracedToTheAgeOfTheView) {
  CutAll(StandInStore::kAddress);
  cluster_.RunFor(Milliseconds(5'000));
  const auto answer = cluster_.Ask(front_, "GET", std::string("/urgent/") + kJob);
  ASSERT_TRUE(answer);
  ASSERT_EQ(answer->status, kUnavailable);
  ASSERT_EQ(Trace(kJob), ctl::ExitCode::kOk) << error_;
  EXPECT_EQ(Get("outcome"), "refused");
  EXPECT_EQ(Get("event"), "request_refused");
  EXPECT_TRUE(CauseHas("5004 view_stale: the view of the jobs is stale (view 5")) << Get("cause");
}

// Guards against a burst of refusals, of which only some are logged, after which the others are
// taken for requests that never arrived.
TEST_F(TraceTest, Submissions_RefusedUnderLoad_AreTracedOrCountedAsLeftOut) {
  constexpr int kLoggedPerSecond = 20;
  constexpr int kBurst = 30;
  cluster_.store.RefuseAppends(true);
  for (int n = 0; n < kBurst; ++n) {
    cluster_.Send(owner_, "POST", "/urgent/00000000000000" + std::to_string(10 + n),
                  std::string(R"({"spec":"x","steps":)") + kOneTask + "}");
  }
  cluster_.RunFor(Milliseconds(2'000));
  ASSERT_EQ(Submit(owner_), kUnavailable);
  ASSERT_EQ(Trace("0000000000000010"), ctl::ExitCode::kOk) << error_;
  EXPECT_EQ(Get("outcome"), "refused");
  EXPECT_TRUE(CauseHas("5001 log_unavailable: the store did not take the record")) << Get("cause");
  EXPECT_EQ(Trace("0000000000000039"), ctl::ExitCode::kRefused);
  EXPECT_NE(error_.find("left out " + std::to_string(kBurst - kLoggedPerSecond) + " lines"),
            std::string::npos)
      << error_;
}

// Guards against a late job whose logs do not name the worker that was lost.
TEST_F(TraceTest, Job_WhoseWorkerIsLost_IsTracedToTheWorker) {
  ASSERT_EQ(Submit(front_), kOk);
  cluster_.RunFor(Milliseconds(100));
  const auto& worker = cluster_.workers[RunningWorker()];
  CutAll(worker->address());
  ASSERT_TRUE(cluster_.RunUntilState(kJob, "completed", Milliseconds(40'000)));
  ASSERT_EQ(Trace(kJob), ctl::ExitCode::kOk) << error_;
  EXPECT_EQ(Get("outcome"), "delayed");
  EXPECT_EQ(Get("event"), "runs_lost");
  EXPECT_EQ(Get("instance"), NameOf(owner_));
  EXPECT_TRUE(CauseHas("worker " + worker->id() + " lost its runs: the lease has ended"))
      << Get("cause");
  EXPECT_TRUE(CauseHas("after worker_silent on " + NameOf(owner_))) << Get("cause");
}

// Guards against a worker that restarted and is reported as cut off.
TEST_F(TraceTest, Job_WhoseWorkerRestarts_IsTracedToTheRestart) {
  ASSERT_EQ(Submit(front_), kOk);
  cluster_.RunFor(Milliseconds(1'000));
  const auto& worker = cluster_.workers[RunningWorker()];
  worker->Restart();
  ASSERT_TRUE(cluster_.RunUntilState(kJob, "completed", Milliseconds(40'000)));
  ASSERT_EQ(Trace(kJob), ctl::ExitCode::kOk) << error_;
  EXPECT_EQ(Get("outcome"), "delayed");
  EXPECT_EQ(Get("event"), "worker_life_began");
  EXPECT_TRUE(CauseHas("worker " + worker->id() + " started anew and lost its runs"))
      << Get("cause");
}

// Guards against a failed job whose logs do not name the run that used up its attempts.
TEST_F(TraceTest, Job_ThatFailsAsOftenAsItMay_IsTracedToItsLastRun) {
  for (const auto& it : cluster_.workers) {
    it->FailAll("failed");
  }
  ASSERT_EQ(Submit(front_), kOk);
  ASSERT_TRUE(cluster_.RunUntilState(kJob, "failed", Milliseconds(40'000)));
  ASSERT_EQ(Trace(kJob), ctl::ExitCode::kOk) << error_;
  EXPECT_EQ(Get("outcome"), "failed");
  EXPECT_EQ(Get("event"), "run_ended");
  EXPECT_TRUE(CauseHas("run 2 of task " + std::string(kTask) + " failed on worker w"))
      << Get("cause");
}

// Guards against an unknown outcome whose logs do not tell that the store gave no answer, and
// against one that counts as settled because the record is stored later.
TEST_F(TraceTest, Submission_DuringAStoreOutage_IsTracedToTheStore) {
  cluster_.store.HoldAppendsOf("e", 100);
  ASSERT_EQ(Submit(front_), kOutcomeUnknown);
  cluster_.RunFor(Milliseconds(2'000));
  cluster_.store.HoldAppendsOf("e", 0);
  cluster_.store.ApplyHeldAppends();
  cluster_.RunFor(Milliseconds(10'000));
  ASSERT_GE(cluster_.StartsOf(kTask), 1);
  ASSERT_EQ(Trace(kJob), ctl::ExitCode::kOk) << error_;
  EXPECT_EQ(Get("outcome"), "outcome_unknown");
  EXPECT_EQ(Get("event"), "job_outcome_unknown");
  EXPECT_EQ(Get("instance"), NameOf(front_));
  EXPECT_TRUE(CauseHas("the store gave no answer before the caller's timeout")) << Get("cause");
}

// Guards against an unknown outcome whose logs do not tell that the owner stopped answering and was
// replaced.
TEST_F(TraceTest, Submission_WhileTheOwnerIsReplaced_IsTracedToTheOwner) {
  cluster_.SetCallerTimeout(Milliseconds(650));
  cluster_.port(owner_).Freeze();
  ASSERT_EQ(Submit(front_), kOutcomeUnknown);
  cluster_.RunFor(Milliseconds(12'000));
  const std::string successor = NameOf(cluster_.IsOwner(front_) ? front_ : 3 - owner_ - front_);
  ASSERT_EQ(Trace(kJob), ctl::ExitCode::kOk) << error_;
  EXPECT_EQ(Get("outcome"), "outcome_unknown");
  EXPECT_EQ(Get("event"), "job_outcome_unknown");
  EXPECT_EQ(Get("instance"), NameOf(front_));
  EXPECT_TRUE(CauseHas("owner " + NameOf(owner_) + " took the request and gave no answer"))
      << Get("cause");
  EXPECT_TRUE(CauseHas("ownership went to " + successor)) << Get("cause");
}

// Guards against a job without trouble that is reported as late.
TEST_F(TraceTest, Job_WithoutTrouble_IsCompleted) {
  ASSERT_EQ(Submit(front_), kOk);
  ASSERT_TRUE(cluster_.RunUntilState(kJob, "completed", Milliseconds(10'000)));
  ASSERT_EQ(Trace(kJob), ctl::ExitCode::kOk) << error_;
  EXPECT_EQ(Get("outcome"), "completed");
}

}  // namespace
}  // namespace clementineloom::entry
