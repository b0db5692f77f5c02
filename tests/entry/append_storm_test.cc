#include <gtest/gtest.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "entry/cluster_test.h"
#include "standin/standin_cluster.h"

namespace clementineloom::entry {
namespace {

using standin::StandInCluster;
using workload::Milliseconds;

// Callers submit at all instances while the store takes one append at a time, and long for each.
class AppendStormTest : public ClusterTest, public testing::WithParamInterface<int> {
 protected:
  static constexpr int kInstances = 24;
  static constexpr Milliseconds kRunTime{300};
  static constexpr Milliseconds kSubmitInterval{40};
  static constexpr Milliseconds kSlowTime{5'000};
  static constexpr Milliseconds kCallerTimeout{3'000};
  // Later than an append without an answer is sent again.
  static constexpr Milliseconds kLateAnswer{1'100};
  static constexpr int kOk = 200;

  AppendStormTest() {
    cluster_.SetCallerTimeout(kCallerTimeout);
    cluster_.RunFor(Milliseconds(3'000));
    owner_ = Owner(cluster_);
  }

  // Submits a job at each interval, at the instances other than the owner in turn.
  void SubmitFor(Milliseconds span) {
    for (Milliseconds passed{0}; passed < span; passed += kSubmitInterval) {
      instance_ = (instance_ + 1) % kInstances;
      instance_ += instance_ == owner_ ? 1 : 0;
      instance_ %= kInstances;
      submitted_.push_back(cluster_.Send(instance_, "POST", "/urgent/" + NextJob(), kBody));
      cluster_.RunFor(kSubmitInterval);
      steps_without_owner_ += cluster_.IsOwner(owner_) ? 0 : 1;
    }
  }
  [[nodiscard]] int AcceptedCount() const {
    int accepted = 0;
    for (const std::uint64_t it : submitted_) {
      const auto answer = cluster_.AnswerTo(it);
      accepted += answer && answer->status == kOk ? 1 : 0;
    }
    return accepted;
  }

  // Appends of submissions by instances that are not the owner.
  [[nodiscard]] int AppendsOfOthers() const {
    int appends = 0;
    for (std::size_t n = 0; n < kInstances; ++n) {
      const std::string producer = StandInCluster::InstanceName(n) + "-";
      appends += n == owner_ ? 0 : cluster_.store.AppendsOf(producer);
    }
    return appends;
  }

  StandInCluster cluster_{kInstances, 4, kRunTime};
  std::size_t owner_ = 0;
  // Steps of SubmitFor after which the first owner was not the owner.
  int steps_without_owner_ = 0;
  std::vector<std::uint64_t> submitted_;

 private:
  static constexpr const char* kBody =
      R"({"spec":"s","steps":[{"count":1,"cpu":100,"memMb":1,"gpus":0}]})";

  std::string NextJob() {
    constexpr std::size_t kDigits = 16;
    const std::string digits = std::to_string(++last_job_);
    return std::string(kDigits - digits.size(), '0') + digits;
  }

  std::size_t instance_ = 0;
  std::uint32_t last_job_ = 0;
};

// Guards against instances that take an owner whose appends are slow for a dead one: their own
// appends fill the store's queue, the owner's records come later still, and submissions fail.
TEST_P(AppendStormTest, Submissions_WhileAppendsAreSlow_AreAllRecordedByTheOwner) {
  const int appends_before = AppendsOfOthers();
  cluster_.store.QueueAppends(Milliseconds(GetParam()));
  SubmitFor(kSlowTime);
  cluster_.RunFor(kCallerTimeout);
  EXPECT_EQ(AcceptedCount(), static_cast<int>(submitted_.size()));
  EXPECT_EQ(AppendsOfOthers(), appends_before);
}

// Guards against a change of owner while the owner is alive: nothing starts until the next one has
// attached the workers.
TEST_P(AppendStormTest, Owner_WhileAppendsAreSlow_StaysTheOwner) {
  cluster_.store.QueueAppends(Milliseconds(GetParam()));
  SubmitFor(kSlowTime);
  cluster_.store.QueueAppends(Milliseconds(0));
  cluster_.RunFor(kCallerTimeout);
  EXPECT_EQ(steps_without_owner_, 0);
  EXPECT_EQ(Owner(cluster_), owner_);
}

// Guards against an owner that all instances give up at the same time because it sends one append
// again: the store is only slower than it was, and their appends make it slower still.
TEST_P(AppendStormTest, Submissions_WhileTheOwnerRepeatsAnAppend_AreNotAppendedByOthers) {
  const int appends_before = AppendsOfOthers();
  cluster_.store.QueueAppends(Milliseconds(GetParam()));
  cluster_.store.DelayAppendsOf(StandInCluster::InstanceName(owner_) + "-", kLateAnswer);
  SubmitFor(kSlowTime);
  cluster_.RunFor(kCallerTimeout);
  EXPECT_EQ(AppendsOfOthers(), appends_before);
  // Only callers that wait for the first repeated append may give up before the next one is stored.
  EXPECT_GT(AcceptedCount(), static_cast<int>(submitted_.size() * 9 / 10));
}

INSTANTIATE_TEST_SUITE_P(AppendTimes, AppendStormTest, testing::Values(100, 208, 240, 300, 520),
                         testing::PrintToStringParamName());

}  // namespace
}  // namespace clementineloom::entry
