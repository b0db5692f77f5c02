#include <gtest/gtest.h>

#include <string>

#include "entry/cluster_test.h"
#include "standin/standin_cluster.h"

namespace clementineloom::entry {
namespace {

using standin::StandInCluster;
using standin::StandInStore;
using workload::Milliseconds;

constexpr const char* kJob = "00000000000000a1";
constexpr const char* kTask = "00000000000000a1.0.0.0";
constexpr const char* kOneTask = R"([{"count":1,"cpu":1000,"memMb":10,"gpus":1}])";
constexpr int kOk = 200;
constexpr int kUnauthorized = 401;
constexpr int kUnavailable = 503;
constexpr int kOutcomeUnknown = 504;
constexpr Milliseconds kRunTime{12'000};
// Longer than an instance waits for a peer.
constexpr Milliseconds kSlowAppend{700};

/// Three instances. Callers use one that does not own the workers.
class CallerRefusalTest : public ClusterTest {
 protected:
  CallerRefusalTest() {
    const std::size_t owner = Owner(cluster_);
    owner_ = AppendProducerOf(owner);
    front_ = owner == 0 ? 1 : 0;
    peer_ = AppendProducerOf(owner == 2 ? 1 : 2);
    cluster_.SetCallerTimeout(Milliseconds(2'500));
  }

  static std::string AppendProducerOf(std::size_t instance) {
    return "e" + std::to_string(instance) + "-";
  }

  // Waits until the instance has noticed that the store is unreachable.
  void CutFrontFromTheStore() {
    cluster_.port(front_).Cut(StandInStore::kAddress);
    cluster_.RunFor(Milliseconds(3'000));
  }
  void RevokeKeyIn(Milliseconds delay) {
    cluster_.world.After(delay, [this] { cluster_.PublishConfig(2, "other-key"); });
  }
  int StatusOf(const std::string& method, const std::string& body = {}) {
    const auto answer = cluster_.Ask(front_, method, std::string("/urgent/") + kJob, body);
    EXPECT_TRUE(answer.has_value());
    return answer ? answer->status : 0;
  }
  int Submit() { return StatusOf("POST", std::string(R"({"spec":"x","steps":)") + kOneTask + "}"); }

  StandInCluster cluster_{3, 2, kRunTime};
  std::size_t front_ = 0;
  // Prefixes of the producer ids under which the other instances append for callers.
  std::string owner_;
  std::string peer_;
};

// Guards against passing on the refusal of one peer while another, which was asked before and did
// not answer in time, still records the job: the caller got 401, and the job started.
TEST_F(CallerRefusalTest, Submit_RefusedByAPeerWhileAnotherRecordsIt_HasAnUnknownOutcome) {
  CutFrontFromTheStore();
  cluster_.store.DelayAppendsOf("e", kSlowAppend);
  RevokeKeyIn(Milliseconds(300));
  const int status = Submit();
  cluster_.RunFor(Milliseconds(3'000));
  ASSERT_EQ(cluster_.StartsOf(kTask), 1);
  EXPECT_EQ(status, kOutcomeUnknown);
}

// Guards against the same for a cancellation: the caller got 401, and the job was stopped.
TEST_F(CallerRefusalTest, Cancel_RefusedByAPeerWhileAnotherRecordsIt_HasAnUnknownOutcome) {
  ASSERT_EQ(Submit(), kOk);
  CutFrontFromTheStore();
  ASSERT_EQ(cluster_.RunningCount(), 1U);
  cluster_.store.DelayAppendsOf("e", kSlowAppend);
  RevokeKeyIn(Milliseconds(300));
  const int status = StatusOf("DELETE");
  cluster_.RunFor(Milliseconds(3'000));
  ASSERT_EQ(cluster_.RunningCount(), 0U);
  EXPECT_EQ(status, kOutcomeUnknown);
}

// Guards against the same if the instance's own append is refused late, after the peers were asked
// because the store did not answer.
TEST_F(CallerRefusalTest, Submit_RefusedHereAndByAPeerWhileAnotherRecordsIt_HasAnUnknownOutcome) {
  cluster_.RunFor(Milliseconds(1'000));
  cluster_.store.RefuseAppendsOf(owner_, Milliseconds(50));
  cluster_.store.RefuseAppendsOf(AppendProducerOf(front_), Milliseconds(900));
  cluster_.store.DelayAppendsOf(peer_, kSlowAppend);
  // Makes its view of the store older than those of its peers.
  cluster_.port(front_).LoseAnswersOf("/log-read");
  cluster_.RunFor(Milliseconds(700));
  RevokeKeyIn(Milliseconds(800));
  const int status = Submit();
  cluster_.port(front_).Heal(StandInStore::kAddress);
  cluster_.RunFor(Milliseconds(3'000));
  ASSERT_EQ(cluster_.StartsOf(kTask), 1);
  EXPECT_EQ(status, kOutcomeUnknown);
}

// Guards against holding back a refusal although nothing can have been recorded.
TEST_F(CallerRefusalTest, Submit_WhereTheFirstPeerKnowsThatTheKeyIsRevoked_IsRefused) {
  CutFrontFromTheStore();
  RevokeKeyIn(Milliseconds(0));
  cluster_.RunFor(Milliseconds(100));
  EXPECT_EQ(Submit(), kUnauthorized);
  cluster_.RunFor(Milliseconds(3'000));
  EXPECT_EQ(cluster_.StartsOf(kTask), 0);
}

// Guards against an unknown outcome although every attempt was refused.
TEST_F(CallerRefusalTest, Submit_RefusedByTheStoreForAllPeers_IsRefused) {
  CutFrontFromTheStore();
  cluster_.store.RefuseAppendsOf("e", Milliseconds(50));
  EXPECT_EQ(Submit(), kUnavailable);
  cluster_.RunFor(Milliseconds(3'000));
  EXPECT_EQ(cluster_.StartsOf(kTask), 0);
}

}  // namespace
}  // namespace clementineloom::entry
