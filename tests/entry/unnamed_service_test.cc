#include <gtest/gtest.h>

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <cstddef>
#include <string>

#include "entry/cluster_test.h"
#include "standin/standin_cluster.h"

namespace clementineloom::entry {
namespace {

namespace json = boost::json;

using standin::StandInCluster;
using standin::StandInWorker;
using workload::Milliseconds;

constexpr const char* kJob = "00000000000000a1";
constexpr const char* kTask = "00000000000000a1.0.0.0";
constexpr const char* kLaterJob = "00000000000000a2";
constexpr const char* kLaterTask = "00000000000000a2.0.0.0";
constexpr const char* kOneTask = R"([{"count":1,"cpu":1000,"memMb":10,"gpus":2}])";
constexpr const char* kUnnamedService = "inspect-trial";
constexpr Milliseconds kRunTime{9'000};
constexpr Milliseconds kUntilNextHeartbeat{1'450};
constexpr Milliseconds kUntilDone{12'000};
constexpr int kOk = 200;

// A task at work, and entries of another writer under the id of its worker.
class UnnamedServiceTest : public ClusterTest {
 protected:
  UnnamedServiceTest() {
    EXPECT_EQ(cluster_.Submit(0, kJob, kOneTask)->status, kOk);
    cluster_.RunFor(Milliseconds(1'000));
    const auto running = cluster_.WorkersRunning(kTask);
    EXPECT_EQ(running.size(), 1U);
    at_work_ = running.empty() ? 0 : running.front();
  }

  StandInWorker& AtWork() { return *cluster_.workers[at_work_]; }
  StandInWorker& Other() { return *cluster_.workers[at_work_ == 0 ? 1 : 0]; }

  // The entry of the worker at work, with the address of another one.
  json::object EntryWithTheAddressOfAnother() {
    json::object entry = json::parse(AtWork().Entry()).as_object();
    entry["address"] = Other().address();
    return entry;
  }
  void PutEntry(const json::object& entry) {
    cluster_.store.Put("keyed.servers", AtWork().id(), json::serialize(entry));
  }
  // Leaves an entry until the worker writes its own again.
  void LeaveUntilHeartbeat(const json::object& entry) {
    PutEntry(entry);
    cluster_.RunFor(kUntilNextHeartbeat);
    cluster_.Register(AtWork());
  }
  // Publishes a configuration with one queue, "/urgent/", on a service.
  void PublishQueueOn(const std::string& service, int version) {
    cluster_.store.Put("keyed.op", "config",
                       R"({"version":)" + std::to_string(version) +
                           R"(,"routes":[{"name":"urgent","host":"h","pathPrefix":"/urgent/",
                             "service":")" +
                           service + R"(","priority":0,"maxAttempts":2,"public":true}],
                             "tenants":[{"name":"t","apiKeys":["key"],"guaranteed":{"gpus":8}}]})");
  }
  void ExpectOneRunUntilDone() {
    EXPECT_TRUE(cluster_.RunUntilState(kJob, "completed", kUntilDone));
    EXPECT_EQ(cluster_.StartsOf(kTask), 1);
    EXPECT_TRUE(cluster_.tasks_on_two_workers.empty());
  }

  StandInCluster cluster_{2, 3, kRunTime};
  std::size_t at_work_ = 0;
};

// Guards against an address taken from an entry that names no worker to use: the worker there
// answers for itself, and the runs of the first were started again beside themselves.
TEST_F(UnnamedServiceTest, Entry_OfAnUnnamedServiceUnderTheIdOfAWorkerAtWork_ItsRunGoesOn) {
  json::object entry = EntryWithTheAddressOfAnother();
  entry["service"] = kUnnamedService;
  entry.erase("born");
  LeaveUntilHeartbeat(entry);
  ExpectOneRunUntilDone();
}

// Guards against the same where the worker's own entry does not return.
TEST_F(UnnamedServiceTest, Entry_OfAnUnnamedServiceThatStays_RunOfTheWorkerGoesOn) {
  json::object entry = EntryWithTheAddressOfAnother();
  entry["service"] = kUnnamedService;
  PutEntry(entry);
  ExpectOneRunUntilDone();
}

// Guards against the same around a change of owner: the successor has no earlier entry.
TEST_F(UnnamedServiceTest, Entry_OfAnUnnamedServiceReadByANewOwner_RunOfTheWorkerGoesOn) {
  json::object entry = EntryWithTheAddressOfAnother();
  entry["service"] = kUnnamedService;
  cluster_.Kill(Owner(cluster_));
  cluster_.RunFor(Milliseconds(1'000));
  LeaveUntilHeartbeat(entry);
  ExpectOneRunUntilDone();
}

// Guards against runs that end by what an address says that their worker never had.
TEST_F(UnnamedServiceTest, Entry_WithTheAddressOfAnotherWithoutStartTime_RunOfTheWorkerGoesOn) {
  json::object entry = EntryWithTheAddressOfAnother();
  entry.erase("born");
  LeaveUntilHeartbeat(entry);
  ExpectOneRunUntilDone();
}

TEST_F(UnnamedServiceTest, Entry_WithTheAddressOfAnotherAndAnEarlierStart_RunOfTheWorkerGoesOn) {
  json::object entry = EntryWithTheAddressOfAnother();
  entry["born"] = 0;
  LeaveUntilHeartbeat(entry);
  ExpectOneRunUntilDone();
}

TEST_F(UnnamedServiceTest, Entry_WithTheAddressOfAnotherAndALaterStart_RunOfTheWorkerGoesOn) {
  json::object entry = EntryWithTheAddressOfAnother();
  entry["born"] = entry["born"].as_int64() + 500;
  LeaveUntilHeartbeat(entry);
  ExpectOneRunUntilDone();
}

// Guards against a worker that stays unused although a later configuration names its service.
TEST_F(UnnamedServiceTest, Worker_OfAServiceThatALaterConfigurationNames_GetsItsRuns) {
  json::object entry = json::parse(Other().Entry()).as_object();
  entry["service"] = "later";
  cluster_.store.Put("keyed.servers", Other().id(), json::serialize(entry));
  cluster_.RunFor(Milliseconds(1'000));
  PublishQueueOn("later", 2);
  cluster_.RunFor(Milliseconds(1'000));
  ASSERT_EQ(cluster_.Submit(0, kLaterJob, kOneTask)->status, kOk);
  cluster_.RunFor(Milliseconds(2'000));
  EXPECT_TRUE(Other().running().contains(kLaterTask));
}

// Guards against a job that was accepted under a configuration and loses its workers to a later one
// that no longer names their service, also for an owner that has not read the earlier one.
TEST_F(UnnamedServiceTest, Worker_OfAServiceThatALaterConfigurationDrops_StartsTheTasksOfItsJobs) {
  for (const auto& it : cluster_.workers) {
    cluster_.Unregister(*it);
  }
  cluster_.RunFor(Milliseconds(500));
  ASSERT_EQ(cluster_.Submit(0, kLaterJob, kOneTask)->status, kOk);
  PublishQueueOn("later", 2);
  cluster_.RunFor(Milliseconds(1'000));
  cluster_.Kill(0);
  cluster_.Restart(0);
  cluster_.RunFor(Milliseconds(2'000));
  cluster_.Kill(1);
  cluster_.RunFor(Milliseconds(8'000));
  for (const auto& it : cluster_.workers) {
    cluster_.Register(*it);
  }
  cluster_.RunFor(Milliseconds(2'000));
  EXPECT_EQ(cluster_.WorkersRunning(kLaterTask).size(), 1U);
}

}  // namespace
}  // namespace clementineloom::entry
