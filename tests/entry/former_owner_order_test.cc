#include <gtest/gtest.h>

#include <chrono>
#include <cstddef>
#include <string>
#include <utility>

#include "entry/cluster_test.h"
#include "net/http_request.h"
#include "standin/standin_cluster.h"

namespace clementineloom::entry {
namespace {

using standin::CallFault;
using standin::StandInCluster;
using standin::StandInWorker;
using workload::Milliseconds;

constexpr const char* kJob = "00000000000000a1";
constexpr const char* kTask = "00000000000000a1.0.0.0";
constexpr const char* kOneTask = R"([{"count":1,"cpu":1000,"memMb":10,"gpus":2}])";
constexpr Milliseconds kShortRunTime{500};
constexpr Milliseconds kLongRunTime{60'000};
constexpr int kOk = 200;
// The order arrives this long after it was sent.
constexpr Milliseconds kOrderDelay{6'000};
// The worker restarts this long before the order arrives.
constexpr Milliseconds kBeforeArrival{50};
// Longest time until a change of owner is complete.
constexpr Milliseconds kTakeover{2'500};

// An order to start that its owner sends before it is replaced, and that its worker carries out
// late.
class FormerOwnerOrderTest : public ClusterTest {
 protected:
  explicit FormerOwnerOrderTest(Milliseconds run_time = kLongRunTime) : cluster_(3, 2, run_time) {
    cluster_.Unregister(other_);
    cluster_.RunFor(Milliseconds(1'000));
    owner_ = Owner(cluster_);
  }

  // Sends the order, the only one that can reach its worker under the first owner.
  void OrderLateStart(Milliseconds delay = kOrderDelay) {
    CallFault fault;
    fault.request_delay = delay;
    fault.loses_answer = true;
    cluster_.port(owner_).FaultNextCall("/run-start", fault);
    ASSERT_EQ(cluster_.Submit(owner_, kJob, kOneTask)->status, kOk);
    RunUntil(Milliseconds(100));
    ASSERT_EQ(cluster_.StartsOf(kTask), 0);
  }
  // Runs until a time since just before the order was sent.
  void RunUntil(Milliseconds time) {
    const auto passed =
        std::chrono::duration_cast<Milliseconds>(cluster_.world.now() - ordered_at_);
    cluster_.RunFor(time - passed);
  }
  void RestartBeforeArrival(Milliseconds delay = kOrderDelay) {
    RunUntil(delay - kBeforeArrival);
    worker_.Restart();
  }
  void ExpectOneRun() {
    RunUntil(Milliseconds(20'000));
    EXPECT_TRUE(cluster_.tasks_on_two_workers.empty());
    EXPECT_EQ(cluster_.WorkersRunning(kTask).size(), 1U);
  }

  StandInCluster cluster_;
  StandInWorker& worker_ = *cluster_.workers[0];
  StandInWorker& other_ = *cluster_.workers[1];
  std::size_t owner_ = 0;
  const workload::SteadyTime ordered_at_ = cluster_.world.now() + Milliseconds(1'000);
};

// The former owner has called its order off, and the worker refuses it since.
class CalledOffFormerOrderTest : public FormerOwnerOrderTest {
 protected:
  void CallOffAndKill() {
    OrderLateStart();
    cluster_.Register(worker_, "draining", kLongRunTime.count());
    RunUntil(Milliseconds(2'500));
    ASSERT_EQ(cluster_.StartsOf(kTask), 0);
    cluster_.Kill(owner_);
    cluster_.Register(worker_);
  }
  // Counts the successor's orders to start.
  void CountOrders() {
    const standin::SimWorld::Server served = *cluster_.world.Find(worker_.address());
    cluster_.world.Serve(worker_.address(), [this, served](const net::HttpRequest& request,
                                                           standin::SimWorld::Reply reply) {
      const bool is_late = !request.headers.Find(standin::SimPort::kLateHeader).empty();
      orders_ += request.target.starts_with("/run-start") && !is_late ? 1 : 0;
      served(request, std::move(reply));
    });
  }

  int orders_ = 0;
};

// The worker has refused a start of the former owner, which has placed other work there since.
class RefusedFormerOrderTest : public FormerOwnerOrderTest {
 protected:
  static constexpr const char* kBulkJob = "00000000000000b1";
  static constexpr const char* kBulkTask = "00000000000000b1.0.0.0";
  static constexpr const char* kWholeWorker = R"([{"count":1,"cpu":1000,"memMb":10,"gpus":8}])";

  void RefuseNextStart() {
    const standin::SimWorld::Server served = *cluster_.world.Find(worker_.address());
    cluster_.world.Serve(
        worker_.address(), [served, is_refused = false](const net::HttpRequest& request,
                                                        standin::SimWorld::Reply reply) mutable {
          if (request.target.starts_with("/run-start") && !std::exchange(is_refused, true)) {
            reply({kUnavailable, {}, {}});
          } else {
            served(request, std::move(reply));
          }
        });
  }

 private:
  static constexpr int kUnavailable = 503;
};

class FormerOwnerShortOrderTest : public FormerOwnerOrderTest {
 protected:
  FormerOwnerShortOrderTest() : FormerOwnerOrderTest(kShortRunTime) {}
};

// Guards against two runs of one task: a successor saw that the worker did not have the run and
// started the task elsewhere, and the worker restarted and carried out the former owner's order.
TEST_F(FormerOwnerOrderTest, Owner_KilledBeforeItsOrderArrives_TaskRunsOnOneWorkerAtATime) {
  OrderLateStart();
  cluster_.Kill(owner_);
  cluster_.Register(worker_, "draining", kLongRunTime.count());
  cluster_.Register(other_);
  RestartBeforeArrival();
  ExpectOneRun();
}

// Guards against the same where the successor prefers another worker because the one that was
// ordered had no room for a while.
TEST_F(FormerOwnerOrderTest, Owner_KilledWhileItsWorkerIsUnlisted_TaskRunsOnOneWorkerAtATime) {
  OrderLateStart();
  cluster_.Kill(owner_);
  cluster_.Unregister(worker_);
  cluster_.Register(other_);
  RestartBeforeArrival();
  cluster_.Register(worker_);
  ExpectOneRun();
}

// Guards against the same after the former owner has seen that its order had no answer.
TEST_F(FormerOwnerOrderTest, Owner_KilledAfterItsOrderTimedOut_TaskRunsOnOneWorkerAtATime) {
  constexpr Milliseconds kDelay{9'000};
  OrderLateStart(kDelay);
  // A repeated order would start the task before the late one does.
  cluster_.port(owner_).LoseRequests(worker_.address());
  RunUntil(Milliseconds(2'000));
  cluster_.Kill(owner_);
  cluster_.Register(worker_, "draining", kLongRunTime.count());
  cluster_.Register(other_);
  RestartBeforeArrival(kDelay);
  ExpectOneRun();
}

// Guards against the same where the former owner resigned.
TEST_F(FormerOwnerOrderTest, Owner_StoppedBeforeItsOrderArrives_TaskRunsOnOneWorkerAtATime) {
  OrderLateStart();
  cluster_.Stop(owner_);
  cluster_.Register(worker_, "draining", kLongRunTime.count());
  cluster_.Register(other_);
  RestartBeforeArrival();
  ExpectOneRun();
}

// Guards against an order that counts as refused for good once one new incarnation has seen the
// successor's token: the next one has not.
TEST_F(FormerOwnerOrderTest, Worker_RestartedTwice_TaskRunsOnOneWorkerAtATime) {
  OrderLateStart();
  cluster_.Kill(owner_);
  RunUntil(Milliseconds(4'000));
  worker_.Restart();
  cluster_.Register(worker_, "draining", kLongRunTime.count());
  cluster_.Register(other_);
  RestartBeforeArrival();
  ExpectOneRun();
}

// Guards against two runs of one task where each owner is replaced while the order is on its way.
TEST_F(FormerOwnerOrderTest, Owner_ReplacedTwice_TaskRunsOnOneWorkerAtATime) {
  OrderLateStart();
  cluster_.Kill(owner_);
  RunUntil(kTakeover);
  cluster_.Kill(Owner(cluster_));
  cluster_.Register(worker_, "draining", kLongRunTime.count());
  cluster_.Register(other_);
  RestartBeforeArrival();
  ExpectOneRun();
}

// Guards against an order that its worker refuses and that the successor repeats with each answer
// to a poll, each time for a longer wait of its task.
TEST_F(CalledOffFormerOrderTest, Successor_WhoseOrderIsRefused_OrdersOnceAndStartsTheTaskInTime) {
  // An order may arrive for 13 s, and two polls of 1.3 s may pass before a list shows it did not.
  constexpr Milliseconds kLongestWait{15'600};
  CallOffAndKill();
  CountOrders();
  RunUntil(Milliseconds(10'000));
  EXPECT_EQ(orders_, 1);
  RunUntil(Milliseconds(2'500) + kTakeover + kLongestWait);
  EXPECT_EQ(cluster_.WorkersRunning(kTask).size(), 1U);
}

// Guards against a worker over its capacity: the record of the refused start was still the newest
// of its task, and the successor ordered it beside the work that had taken its room.
TEST_F(RefusedFormerOrderTest, Successor_WhereOtherWorkTookTheRoom_DoesNotOrderTheStart) {
  RefuseNextStart();
  ASSERT_EQ(cluster_.Submit(owner_, kBulkJob, kWholeWorker, "/bulk/")->status, kOk);
  cluster_.RunFor(Milliseconds(100));
  ASSERT_EQ(cluster_.Submit(owner_, kJob, kWholeWorker)->status, kOk);
  cluster_.RunFor(Milliseconds(1'500));
  ASSERT_EQ(cluster_.WorkersRunning(kTask).size(), 1U);
  cluster_.Kill(owner_);
  cluster_.RunFor(kTakeover);
  EXPECT_EQ(cluster_.WorkersRunning(kTask).size(), 1U);
  EXPECT_EQ(cluster_.StartsOf(kBulkTask), 0);
}

// Guards against a start after the end of the task was stored.
TEST_F(FormerOwnerShortOrderTest, Worker_RestartedAfterTheEnd_TaskDoesNotRunAgain) {
  OrderLateStart();
  cluster_.Kill(owner_);
  RestartBeforeArrival();
  RunUntil(Milliseconds(20'000));
  EXPECT_EQ(cluster_.StartsOf(kTask), 1);
}

// Guards against a task that waits for an order that was never sent: its owner died between the
// record of the start and the order.
TEST_F(FormerOwnerOrderTest, Owner_KilledBeforeItsOrderWasSent_TaskStartsAtTheTakeover) {
  cluster_.store.DelayAppendsOf("owner", Milliseconds(100));
  ASSERT_EQ(cluster_.Submit(owner_, kJob, kOneTask)->status, kOk);
  cluster_.RunFor(Milliseconds(50));
  cluster_.Kill(owner_);
  cluster_.store.DelayAppendsOf("owner", Milliseconds(0));
  cluster_.RunFor(Milliseconds(100));
  ASSERT_EQ(cluster_.StartsOf(kTask), 0);
  RunUntil(kTakeover);
  EXPECT_EQ(cluster_.WorkersRunning(kTask).size(), 1U);
}

// Guards against a task that waits for long after the owner and its worker have lost power
// together.
TEST_F(FormerOwnerOrderTest, Owner_KilledWhileItsWorkerRestarts_TaskStartsAtTheTakeover) {
  ASSERT_EQ(cluster_.Submit(owner_, kJob, kOneTask)->status, kOk);
  RunUntil(Milliseconds(500));
  ASSERT_EQ(cluster_.StartsOf(kTask), 1);
  cluster_.Kill(owner_);
  worker_.Restart();
  cluster_.Register(worker_);
  RunUntil(kTakeover);
  EXPECT_EQ(cluster_.WorkersRunning(kTask).size(), 1U);
}

}  // namespace
}  // namespace clementineloom::entry
