#include <gtest/gtest.h>

#include <boost/json/array.hpp>
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
constexpr const char* kTaskOfKind =
    R"([{"count":1,"cpu":1000,"memMb":10,"gpus":2,"requirements":"a"}])";
constexpr Milliseconds kRunTime{60'000};
constexpr Milliseconds kUntilSettled{20'000};
constexpr int kOk = 200;

// A worker that leaves a start without an answer and restarts under its id with another entry.
class RestartedKindTest : public ClusterTest {
 protected:
  RestartedKindTest() {
    cluster_.Unregister(other_);
    cluster_.RunFor(Milliseconds(1'000));
    owner_ = Owner(cluster_);
  }

  void SubmitToSilentWorker() {
    cluster_.port(owner_).Cut(worker_.address());
    ASSERT_EQ(cluster_.Submit(owner_, kJob, kTaskOfKind)->status, kOk);
    cluster_.RunFor(Milliseconds(1'000));
  }
  // Restarts the worker with an entry in which one field differs.
  void RestartWith(const std::string& field, const json::value& value) {
    worker_.Restart();
    json::object entry = json::parse(worker_.Entry()).as_object();
    entry[field] = value;
    cluster_.store.Put("keyed.servers", worker_.id(), json::serialize(entry));
    cluster_.RunFor(Milliseconds(500));
  }
  void Heal() { cluster_.port(owner_).Heal(worker_.address()); }
  void ExpectStartOnTheOtherWorkerOnly() {
    cluster_.RunFor(Milliseconds(3'000));
    EXPECT_EQ(cluster_.StartsOf(kTask), 0);
    cluster_.Register(other_);
    cluster_.RunFor(kUntilSettled);
    EXPECT_TRUE(other_.running().contains(kTask));
    EXPECT_EQ(cluster_.StartsOf(kTask), 1);
  }

  StandInCluster cluster_{2, 2, kRunTime};
  StandInWorker& worker_ = *cluster_.workers[0];
  StandInWorker& other_ = *cluster_.workers[1];
  std::size_t owner_ = 0;
};

// Guards against a task that starts on a worker without the label that it requires.
TEST_F(RestartedKindTest, Start_WithoutAnswerOnAWorkerOfAnotherKind_IsNotRepeated) {
  SubmitToSilentWorker();
  RestartWith("labels", json::array{"b", "r1"});
  Heal();
  ExpectStartOnTheOtherWorkerOnly();
}

// Guards against a task that starts on a worker of another service.
TEST_F(RestartedKindTest, Start_WithoutAnswerOnAWorkerOfAnotherService_IsNotRepeated) {
  SubmitToSilentWorker();
  RestartWith("service", "other");
  Heal();
  ExpectStartOnTheOtherWorkerOnly();
}

// Guards against a worker over its capacity.
TEST_F(RestartedKindTest, Start_WithoutAnswerOnASmallerWorker_IsNotRepeated) {
  SubmitToSilentWorker();
  RestartWith("capacity", json::object{{"cpu", 8'000}, {"memMb", 1'000}, {"gpus", 1}});
  Heal();
  ExpectStartOnTheOtherWorkerOnly();
}

// Guards against the same after a takeover: the successor takes the former owner's order for one
// that may still arrive.
TEST_F(RestartedKindTest, Start_OfAFormerOwnerOnAWorkerOfAnotherKind_IsNotRepeated) {
  SubmitToSilentWorker();
  cluster_.Kill(owner_);
  RestartWith("labels", json::array{"b", "r1"});
  ExpectStartOnTheOtherWorkerOnly();
}

}  // namespace
}  // namespace clementineloom::entry
