#include <gtest/gtest.h>

#include <string>
#include <utility>

#include "entry/cluster_test.h"
#include "standin/standin_cluster.h"

namespace clementineloom::entry {
namespace {

using standin::SimWorld;
using standin::StandInCluster;
using standin::StandInWorker;
using workload::Milliseconds;

constexpr const char* kJob = "00000000000000a1";
constexpr const char* kTask = "00000000000000a1.0.0.0";
constexpr const char* kOneTask = R"([{"count":1,"cpu":1000,"memMb":10,"gpus":2}])";
constexpr Milliseconds kRunTime{60'000};
constexpr Milliseconds kAnswerDelay{500};
// A start without an answer is repeated a second after it was sent.
constexpr Milliseconds kBeforeRepetition{900};
constexpr int kOk = 200;

// Answers of a worker's earlier incarnation that arrive once the owner knows the new one, while an
// order to start without an answer may still arrive.
class LateAnswerTest : public ClusterTest {
 protected:
  LateAnswerTest() {
    cluster_.world.Serve(restarting_.address(),
                         [this, worker = *cluster_.world.Find(restarting_.address())](
                             const net::HttpRequest& request, SimWorld::Reply reply) {
                           if (request.target == "/run-start") {
                             last_start_ = request;
                           }
                           worker(request, std::move(reply));
                         });
    cluster_.Unregister(other_);
    cluster_.RunFor(Milliseconds(1'000));
    cluster_.port(0).LoseAnswersOf("/run-start");
    EXPECT_EQ(cluster_.Submit(0, kJob, kOneTask)->status, kOk);
    cluster_.RunFor(kBeforeRepetition);
    cluster_.port(0).Heal({});
  }

  // Ends the incarnation just after it has handled an order. The new one drains, so that the task
  // has to run elsewhere unless it runs there already.
  void RestartAfterOrder() {
    cluster_.RunFor(Milliseconds(50));
    restarting_.Restart();
    cluster_.Register(restarting_, "draining", kRunTime.count());
  }

  // Delivers an order to start that was on its way all the time.
  void DeliverLateStart() {
    (*cluster_.world.Find(restarting_.address()))(last_start_, [](const net::HttpResponse&) {});
    cluster_.RunFor(Milliseconds(500));
  }

  StandInCluster cluster_{1, 2, kRunTime};
  StandInWorker& restarting_ = *cluster_.workers[0];
  StandInWorker& other_ = *cluster_.workers[1];
  net::HttpRequest last_start_;
};

// Guards against two runs of one task: the answer to a start by the earlier incarnation counted as
// a confirmation by the new one, whose lists then seemed to show that the run had ended.
TEST_F(LateAnswerTest, StartAnswer_HandledAfterTheRestart_DoesNotConfirmTheRun) {
  restarting_.DelayAnswersOf("/run-start", kAnswerDelay);
  cluster_.RunFor(Milliseconds(100));
  RestartAfterOrder();
  cluster_.Register(other_);
  cluster_.RunFor(Milliseconds(4'000));
  DeliverLateStart();
  EXPECT_TRUE(cluster_.tasks_on_two_workers.empty());
  EXPECT_EQ(cluster_.WorkersRunning(kTask).size(), 1U);
}

// Guards against a cancelled task that runs: the answer to its stop by the earlier incarnation
// counted as a confirmation by the new one, which did not know of the stop.
TEST_F(LateAnswerTest, StopAnswer_HandledAfterTheRestart_IsNotTakenForTheNewIncarnation) {
  restarting_.DelayAnswersOf("/run-stop", kAnswerDelay);
  cluster_.RunFor(Milliseconds(700));
  EXPECT_EQ(cluster_.Ask(0, "DELETE", std::string("/urgent/") + kJob)->status, kOk);
  RestartAfterOrder();
  cluster_.RunFor(Milliseconds(4'000));
  DeliverLateStart();
  EXPECT_EQ(cluster_.RunningCount(), 0U);
}

// Guards against a cancelled task that runs: the end of its stopped run was listed by the earlier
// incarnation, and the new one carried out an order to start that was still on its way.
TEST_F(LateAnswerTest, Stop_ListedBeforeTheRestart_IsRepeatedAtTheNewIncarnation) {
  cluster_.RunFor(Milliseconds(700));
  EXPECT_EQ(cluster_.Ask(0, "DELETE", std::string("/urgent/") + kJob)->status, kOk);
  cluster_.RunFor(Milliseconds(1'000));
  RestartAfterOrder();
  cluster_.RunFor(Milliseconds(1'000));
  DeliverLateStart();
  EXPECT_EQ(cluster_.RunningCount(), 0U);
}

}  // namespace
}  // namespace clementineloom::entry
