#include <gtest/gtest.h>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "entry/cluster_test.h"
#include "standin/standin_cluster.h"

namespace clementineloom::entry {
namespace {

using standin::StandInCluster;
using workload::Milliseconds;

constexpr const char* kShortTask = R"([{"count":1,"cpu":100,"memMb":1,"gpus":0}])";
constexpr Milliseconds kRunTime{3'000};
constexpr int kOk = 200;

// Planned stops while callers submit jobs. The balancer sends no new requests to an instance that
// stops, and the instance exits once a grace period is over, all requests are answered and another
// instance may take over.
class OwnerHandoverTest : public ClusterTest {
 protected:
  static constexpr std::size_t kInstances = 3;
  static constexpr Milliseconds kSubmitInterval{20};
  // Time within which a successor of a killed owner takes over.
  static constexpr std::int64_t kLongestGapMs = 1'700;
  // Time within which work goes on after a planned stop.
  static constexpr std::int64_t kLongestStartPauseMs = 1'000;

  struct Request {
    std::size_t instance = 0;
    std::uint64_t exchange = 0;
    std::string job;
  };

  OwnerHandoverTest() { Watch(); }

  // Submits a job at each interval, at the serving instances in turn.
  void SubmitFor(Milliseconds span) {
    for (Milliseconds n{0}; n < span; n += kSubmitInterval) {
      SubmitNext();
      cluster_.RunFor(kSubmitInterval);
    }
  }

  // Stops an instance while callers submit, and ends it when it has no requests in progress.
  // @return whether it handed over its ownership before that
  bool StopAndExit(std::size_t instance) {
    constexpr Milliseconds kDrainGrace{200};
    constexpr Milliseconds kDrainTimeout{5'000};
    stopped_ = instance;
    cluster_.Stop(instance);
    SubmitFor(kDrainGrace);
    for (Milliseconds n{0};
         n < kDrainTimeout && (HasRequestsInProgress() || cluster_.OwnerIndex() == instance);
         n += kSubmitInterval) {
      SubmitFor(kSubmitInterval);
    }
    EXPECT_FALSE(HasRequestsInProgress());
    const bool has_handed_over = cluster_.OwnerIndex() != instance;
    cluster_.Kill(instance);
    return has_handed_over;
  }
  void Return(std::size_t instance) {
    cluster_.Restart(instance);
    SubmitFor(Milliseconds(1'500));
    stopped_.reset();
  }

  // Each job was accepted, is completed everywhere and ran once.
  void ExpectAllAcceptedAndRunOnce() {
    cluster_.RunFor(kRunTime + Milliseconds(4'000));
    for (const Request& it : requests_) {
      const auto answer = cluster_.AnswerTo(it.exchange);
      ASSERT_TRUE(answer.has_value()) << it.job << " at " << it.instance;
      EXPECT_EQ(answer->status, kOk) << it.job << " at " << it.instance;
      EXPECT_EQ(cluster_.StartsOf(it.job + ".0.0.0"), 1) << it.job;
    }
    EXPECT_TRUE(cluster_.RunUntilState(requests_.back().job, "completed", Milliseconds(4'000)));
    EXPECT_TRUE(cluster_.tasks_on_two_workers.empty());
  }

  void ResetPauses() {
    last_owned_at_ms_ = last_start_at_ms_ = cluster_.world.ElapsedMs();
    longest_gap_ms_ = longest_start_pause_ms_ = 0;
  }

  StandInCluster cluster_{kInstances, 6, kRunTime};
  std::vector<Request> requests_;
  // Longest spans without an owner and without a start.
  std::int64_t longest_gap_ms_ = 0;
  std::int64_t longest_start_pause_ms_ = 0;

 private:
  void SubmitNext() {
    constexpr std::size_t kFirstId = 10'000;
    do {
      next_instance_ = (next_instance_ + 1) % kInstances;
    } while (next_instance_ == stopped_);
    const std::string job = "00000000000" + std::to_string(kFirstId + requests_.size());
    requests_.push_back({next_instance_,
                         cluster_.Send(next_instance_, "POST", "/urgent/" + job,
                                       std::string(R"({"spec":"x","steps":)") + kShortTask + "}"),
                         job});
  }
  bool HasRequestsInProgress() const {
    return std::any_of(requests_.begin(), requests_.end(),
                       [&](const Request& it) { return !cluster_.AnswerTo(it.exchange); });
  }

  void Watch() {
    const std::int64_t now_ms = cluster_.world.ElapsedMs();
    if (cluster_.OwnerCount() > 0) {
      last_owned_at_ms_ = now_ms;
    }
    longest_gap_ms_ = std::max(longest_gap_ms_, now_ms - last_owned_at_ms_);
    std::size_t starts = 0;
    for (const auto& it : cluster_.workers) {
      starts += it->starts().size();
    }
    if (starts > starts_) {
      starts_ = starts;
      last_start_at_ms_ = now_ms;
    }
    longest_start_pause_ms_ = std::max(longest_start_pause_ms_, now_ms - last_start_at_ms_);
    cluster_.world.After(Milliseconds(1), [this] { Watch(); });
  }

  std::size_t next_instance_ = 0;
  std::optional<std::size_t> stopped_;
  std::int64_t last_owned_at_ms_ = 0;
  std::int64_t last_start_at_ms_ = 0;
  std::size_t starts_ = 0;
};

// Guards against a planned stop that leaves the workers without an owner for as long as a crash,
// cuts off runs or leaves requests without an answer.
TEST_F(OwnerHandoverTest, Owner_StoppedWhileJobsAreSubmitted_HandsOverWithoutAGap) {
  SubmitFor(Milliseconds(2'000));
  ResetPauses();
  const std::size_t owner = Owner(cluster_);
  EXPECT_TRUE(StopAndExit(owner));
  SubmitFor(Milliseconds(3'000));
  EXPECT_LE(longest_gap_ms_, kLongestGapMs);
  EXPECT_LE(longest_start_pause_ms_, kLongestStartPauseMs);
  Return(owner);
  ExpectAllAcceptedAndRunOnce();
}

// Guards against an instance that exits before its resignation is stored, because the store takes a
// while for each append: its successor had to wait as after a crash.
TEST_F(OwnerHandoverTest, Owner_StoppedWhileTheStoreIsSlow_HandsOverBeforeItExits) {
  SubmitFor(Milliseconds(1'000));
  cluster_.store.DelayAppendsOf("owner", Milliseconds(400));
  SubmitFor(Milliseconds(1'000));
  ResetPauses();
  const std::size_t owner = Owner(cluster_);
  EXPECT_TRUE(StopAndExit(owner));
  SubmitFor(Milliseconds(3'000));
  EXPECT_LE(longest_gap_ms_, kLongestGapMs);
  Return(owner);
  ExpectAllAcceptedAndRunOnce();
}

// Guards against jobs that are lost, run twice or are left without an answer when all instances are
// replaced one after the other.
TEST_F(OwnerHandoverTest, Instances_RestartedInTurnTwice_AcceptEachJobAndRunItOnce) {
  constexpr int kRounds = 2;
  SubmitFor(Milliseconds(1'000));
  ResetPauses();
  for (int round = 0; round < kRounds; ++round) {
    for (std::size_t n = 0; n < kInstances; ++n) {
      StopAndExit(n);
      SubmitFor(Milliseconds(300));
      Return(n);
    }
  }
  EXPECT_LE(longest_gap_ms_, kLongestGapMs);
  EXPECT_LE(longest_start_pause_ms_, kLongestStartPauseMs);
  ExpectAllAcceptedAndRunOnce();
}

}  // namespace
}  // namespace clementineloom::entry
