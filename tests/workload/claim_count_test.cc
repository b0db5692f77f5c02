#include <gtest/gtest.h>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "clementineloom/workload/owner_election.h"

namespace clementineloom::workload {
namespace {

// How instances see the topic. An immutable value.
struct ClaimCountScenario {
  std::size_t instances = 0;
  // The first ones, of a whole core; the others have an eighth.
  std::size_t larger = 0;
  // Time from a claim to its record being read by all others.
  Milliseconds visible_after{0};
  // Longest time by which the instances read the owner's last record at different times.
  Milliseconds read_skew{0};
};

// Instances that have read the same records, and an owner that has stopped writing.
class ClaimCountTest : public testing::Test {
 protected:
  static constexpr Milliseconds kStep{20};
  // Pause between two reads of an instance with many peers.
  static constexpr Milliseconds kReadPause{400};
  // A store with a full queue stores a claim this much later.
  static constexpr Milliseconds kFullQueue{2'000};
  static constexpr Milliseconds kAppendTime{4};
  static constexpr std::int64_t kLargeMillicores = 1'000;
  static constexpr std::int64_t kSmallMillicores = 125;

  static std::string NameOf(std::size_t n) { return "edge-" + std::to_string(n); }
  static std::int64_t SizeOf(const ClaimCountScenario& scenario, std::size_t n) {
    return n < scenario.larger ? kLargeMillicores : kSmallMillicores;
  }

  // Creates the instances. All have read the records of all, at about the same time.
  void Begin(const ClaimCountScenario& scenario) {
    elections_.clear();
    scenario_ = scenario;
    for (std::size_t n = 0; n < scenario.instances; ++n) {
      elections_.push_back(ElectionOf(n));
      for (std::size_t peer = 0; peer < scenario.instances; ++peer) {
        elections_[n]->OnInstance({NameOf(peer), "10.0.0.1:80", SizeOf(scenario, peer)});
      }
      elections_[n]->OnRead(SteadyTime());
    }
  }
  [[nodiscard]] std::unique_ptr<OwnerElection> ElectionOf(std::size_t n) const {
    return std::make_unique<OwnerElection>(NameOf(n), SizeOf(scenario_, n));
  }

  // All instances read a record of the owner, which writes no other one.
  void ReadOwner(std::size_t owner, std::uint64_t epoch) {
    for (std::size_t n = 0; n < elections_.size(); ++n) {
      const Milliseconds skew = scenario_.read_skew * (n * 7 % 10) / 9;
      elections_[n]->OnRead(SteadyTime() + skew);
      elections_[n]->OnOwner({epoch, NameOf(owner), OwnerPhase::kActive}, SteadyTime() + skew);
    }
  }

  // The live instances claim until the first claim is visible, at the latest until a time.
  // Returns the times of all claims.
  std::vector<Milliseconds> ClaimsBeforeOneIsVisible(const std::set<std::size_t>& dead,
                                                     Milliseconds until) {
    std::vector<Milliseconds> claims;
    std::set<std::size_t> claimants;
    for (Milliseconds at{0}; at < until; at += kStep) {
      if (!claims.empty() && at > claims.front() + scenario_.visible_after) {
        break;
      }
      for (std::size_t n = 0; n < elections_.size(); ++n) {
        elections_[n]->OnRead(SteadyTime() + at);
        if (!dead.contains(n) && !claimants.contains(n) &&
            elections_[n]->MayClaim(SteadyTime() + at)) {
          claimants.insert(n);
          claims.push_back(at);
        }
      }
    }
    return claims;
  }

  // The set of instances whose number divided by `divisor` leaves no rest.
  static std::set<std::size_t> EachOf(std::size_t instances, std::size_t divisor) {
    std::set<std::size_t> each;
    for (std::size_t n = 0; n < instances; n += divisor) {
      each.insert(n);
    }
    return each;
  }

  ClaimCountScenario scenario_;
  std::vector<std::unique_ptr<OwnerElection>> elections_;
};

constexpr Milliseconds kEnd{30'000};

// Guards against claims that fill the store's queue when an owner has died: each was queued, and
// deposed the owner that the one before had elected.
TEST_F(ClaimCountTest, Claims_OfManyInstances_AreFewBeforeTheFirstIsVisible) {
  for (const std::size_t instances : {150U, 300U}) {
    for (const Milliseconds skew : {Milliseconds(0), kReadPause}) {
      Begin({instances, 0, kAppendTime + kReadPause, skew});
      ReadOwner(0, 1);
      const auto claims = ClaimsBeforeOneIsVisible({0}, kEnd);
      EXPECT_GE(claims.size(), 1U) << instances;
      EXPECT_LE(claims.size(), 4U) << instances << ", skew " << skew.count();
    }
  }
}

// Guards against the same at the start of a system, and where a part of the instances is larger.
TEST_F(ClaimCountTest, Claims_AtTheStartOfASystem_AreFewBeforeTheFirstIsVisible) {
  for (const std::size_t instances : {150U, 300U}) {
    for (const std::size_t larger : {0U, 18U}) {
      Begin({instances, larger, kAppendTime + kReadPause});
      const auto claims = ClaimsBeforeOneIsVisible({}, kEnd);
      EXPECT_GE(claims.size(), 1U) << instances;
      EXPECT_LE(claims.size(), 4U) << instances << ", larger " << larger;
    }
  }
}

// Guards against the same where the records of some instances are not read yet, others at each.
TEST_F(ClaimCountTest, Claims_OfInstancesWithDifferentViews_AreFewBeforeTheFirstIsVisible) {
  constexpr std::size_t kInstances = 150;
  scenario_ = {kInstances, 18, kAppendTime + kReadPause};
  elections_.clear();
  for (std::size_t n = 0; n < kInstances; ++n) {
    elections_.push_back(ElectionOf(n));
    for (std::size_t peer = 0; peer < kInstances; ++peer) {
      if (peer == n || (peer * 31 + n * 17) % 10 != 0) {
        elections_[n]->OnInstance({NameOf(peer), "10.0.0.1:80", SizeOf(scenario_, peer)});
      }
    }
    elections_[n]->OnRead(SteadyTime());
  }
  const auto claims = ClaimsBeforeOneIsVisible({}, kEnd);
  EXPECT_GE(claims.size(), 1U);
  EXPECT_LE(claims.size(), 8U);
}

// Guards against claims that keep a slow store busy for longer than its queue is: a claim takes
// seconds to become visible.
TEST_F(ClaimCountTest, Claims_WhileTheStoresQueueIsFull_AreFew) {
  for (const std::size_t instances : {150U, 300U}) {
    Begin({instances, 18, kFullQueue + kReadPause});
    ReadOwner(0, 1);
    const auto claims = ClaimsBeforeOneIsVisible({0}, kEnd);
    EXPECT_GE(claims.size(), 1U) << instances;
    EXPECT_LE(claims.size(), 8U) << instances;
  }
}

// Guards against many larger instances that replace a living smaller owner at the same time.
TEST_F(ClaimCountTest, Claims_OfLargerInstances_AreFewBeforeTheFirstIsVisible) {
  constexpr std::size_t kLarger = 40;
  constexpr std::size_t kSmallOwner = 149;
  Begin({150, kLarger, kAppendTime + kReadPause, kReadPause});
  for (Milliseconds at{0}; at < OwnerElection::kSmallerOwnerTerm; at += kReadPause) {
    for (const auto& it : elections_) {
      it->OnRead(SteadyTime() + at);
      it->OnOwner({1, NameOf(kSmallOwner), OwnerPhase::kActive}, SteadyTime() + at);
    }
  }
  const auto claims = ClaimsBeforeOneIsVisible({kSmallOwner}, kEnd);
  EXPECT_GE(claims.size(), 1U);
  EXPECT_LE(claims.size(), 4U);
}

// Guards against a successor that comes late in a small system, whichever instance is left.
TEST_F(ClaimCountTest, FirstClaim_OfTheLastOfNineInstances_ComesWithinTheClaimDelay) {
  constexpr Milliseconds kLatest = OwnerElection::kOwnerTimeout + Milliseconds(300);
  constexpr std::size_t kInstances = 9;
  constexpr std::size_t kOwner = 8;
  for (std::size_t left = 0; left < kOwner; ++left) {
    for (std::uint64_t epoch = 1; epoch <= 20; ++epoch) {
      Begin({kInstances, 0, kReadPause});
      ReadOwner(kOwner, epoch);
      std::set<std::size_t> dead = EachOf(kInstances, 1);
      dead.erase(left);
      const auto claims = ClaimsBeforeOneIsVisible(dead, kEnd);
      ASSERT_EQ(claims.size(), 1U);
      EXPECT_LE(claims.front(), kLatest) << left;
    }
  }
}

// Guards against the same where a smaller instance is left.
TEST_F(ClaimCountTest, FirstClaim_OfASmallerInstance_ComesWithinItsDelay) {
  constexpr Milliseconds kLatest =
      OwnerElection::kOwnerTimeout + Milliseconds(300) + OwnerElection::kSmallerInstanceDelay;
  constexpr std::size_t kInstances = 9;
  for (std::size_t left = 2; left < kInstances; ++left) {
    Begin({kInstances, 2, kReadPause});
    ReadOwner(0, 1);
    std::set<std::size_t> dead = EachOf(kInstances, 1);
    dead.erase(left);
    const auto claims = ClaimsBeforeOneIsVisible(dead, kEnd);
    ASSERT_EQ(claims.size(), 1U);
    EXPECT_LE(claims.front(), kLatest) << left;
  }
}

// Guards against a search for a live candidate that outlasts the leases of the workers: they end
// 5.5 s after the owner's last renewal.
TEST_F(ClaimCountTest, FirstClaim_WhereManyInstancesAreDead_ComesBeforeLeasesEnd) {
  constexpr Milliseconds kLatest{3'500};
  constexpr std::size_t kInstances = 150;
  for (const std::size_t divisor : {2U, 3U, 6U}) {
    const std::set<std::size_t> dead = EachOf(kInstances, divisor);
    for (std::uint64_t epoch = 1; epoch <= 20; ++epoch) {
      Begin({kInstances, 18, kReadPause});
      ReadOwner(0, epoch);
      const auto claims = ClaimsBeforeOneIsVisible(dead, kEnd);
      ASSERT_GE(claims.size(), 1U);
      EXPECT_LE(claims.front(), kLatest) << "one of " << divisor << " dead, epoch " << epoch;
    }
  }
}

// Guards against instances that repeat their claims in step while the store refuses them, which
// keeps its queue full.
TEST_F(ClaimCountTest, Claims_ThatTheStoreRefuses_ComeLessAndLessOften) {
  constexpr Milliseconds kRefusedFor{20'000};
  constexpr std::size_t kInstances = 150;
  Begin({kInstances, 0, kReadPause});
  ReadOwner(0, 1);
  std::size_t last_second = 0;
  for (Milliseconds at{0}; at < kRefusedFor; at += kStep) {
    for (const auto& it : elections_) {
      it->OnRead(SteadyTime() + at);
      if (it != elections_.front() && it->MayClaim(SteadyTime() + at)) {
        it->OnClaimAnswered(SteadyTime() + at);
        last_second += at >= kRefusedFor - Milliseconds(1'000) ? 1 : 0;
      }
    }
  }
  EXPECT_GE(last_second, 1U);
  EXPECT_LE(last_second, kInstances / 5);
}

}  // namespace
}  // namespace clementineloom::workload
