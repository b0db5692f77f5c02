#include <gtest/gtest.h>

#include <algorithm>
#include <string>

#include "clementineloom/workload/owner_contact.h"
#include "entry/cluster_test.h"
#include "standin/standin_cluster.h"

namespace clementineloom::entry {
namespace {

using standin::StandInCluster;
using workload::Milliseconds;

constexpr const char* kJob = "00000000000000a1";
constexpr const char* kJobPath = "/urgent/00000000000000a1";
constexpr const char* kTask = "00000000000000a1.0.0.0";
constexpr const char* kOneTask = R"([{"count":1,"cpu":1000,"memMb":10,"gpus":1}])";
constexpr const char* kTopic = "keyed.loom";
constexpr Milliseconds kRunTime{1'000};
constexpr Milliseconds kPageDelay{300};
constexpr int kOk = 200;

// A job that ends while the store refuses appends.
class UnstoredEndTest : public ClusterTest {
 protected:
  UnstoredEndTest() : owner_(Owner(cluster_)) {
    EXPECT_EQ(cluster_.Submit(owner_, kJob, kOneTask)->status, kOk);
    cluster_.RunFor(Milliseconds(500));
    EXPECT_EQ(cluster_.WorkersRunning(kTask).size(), 1U);
    cluster_.store.RefuseAppends(true);
    cluster_.RunFor(Milliseconds(1'000));
    EXPECT_EQ(cluster_.RunningCount(), 0U);
  }

  [[nodiscard]] bool IsEndStored() {
    const auto& records = cluster_.store.Records(kTopic);
    return std::any_of(records.begin(), records.end(), [](const workload::KeyedValue& it) {
      return it.key == std::string("e/") + kJob;
    });
  }
  std::string Shown() {
    const auto answer = cluster_.Ask(owner_, "GET", kJobPath);
    return answer ? std::to_string(answer->status) + " " + answer->body : "no answer";
  }

  StandInCluster cluster_{2, 1, kRunTime};
  const std::size_t owner_;
};

// Guards against a job that was reported as completed and ran again: its owner died before the end
// was stored, and its worker lost the list of ends.
TEST_F(UnstoredEndTest, Show_BeforeTheEndIsStored_IsNotCompleted) {
  ASSERT_FALSE(IsEndStored());
  EXPECT_NE(Shown().find("running"), std::string::npos) << Shown();
  cluster_.store.RefuseAppends(false);
  EXPECT_TRUE(cluster_.RunUntilState(kJob, "completed", Milliseconds(3'000)));
  EXPECT_TRUE(IsEndStored());
}

// Guards against acknowledging a cancellation because of an end that is lost later.
TEST_F(UnstoredEndTest, Cancel_BeforeTheEndIsStored_IsNotAcknowledgedWithoutARecord) {
  const auto answer = cluster_.Ask(owner_, "DELETE", kJobPath);
  ASSERT_TRUE(answer.has_value());
  EXPECT_GE(answer->status, 500);
}

// Guards against a former owner that reports its unstored changes until it has loaded the topic
// again.
TEST_F(UnstoredEndTest, Show_AfterOwnershipIsLost_IsWhatIsStored) {
  cluster_.store.CutPages(1, kPageDelay);
  // An owner that reaches its workers continues without the store for this time; a second is added.
  constexpr Milliseconds kStep{100};
  constexpr int kSteps = (workload::OwnerContact::kMaxUnconfirmed + Milliseconds(1'000)) / kStep;
  for (int n = 0; n < kSteps; ++n) {
    cluster_.RunFor(kStep);
    const std::string shown = Shown();
    ASSERT_EQ(shown.find("completed"), std::string::npos) << n;
    ASSERT_FALSE(shown.starts_with("410")) << n;
  }
  ASSERT_FALSE(IsEndStored());
  EXPECT_EQ(cluster_.OwnerCount(), 0);
  cluster_.store.RefuseAppends(false);
  EXPECT_TRUE(cluster_.RunUntilState(kJob, "completed", Milliseconds(20'000)));
}

}  // namespace
}  // namespace clementineloom::entry
