#include "clementineloom/workload/owner_election.h"

#include <gtest/gtest.h>

#include <string>

#include "clementineloom/workload/owner_contact.h"
#include "clementineloom/workload/owner_hand_over.h"
#include "clementineloom/workload/worker_lease.h"

namespace clementineloom::workload {
namespace {

class OwnerElectionTest : public testing::Test {
 protected:
  // Reads the stream every 100 ms until a time.
  void ReadUntil(OwnerElection& election, Milliseconds until) {
    for (; now_ < SteadyTime() + until; now_ += Milliseconds(100)) {
      election.OnRead(now_);
    }
  }

  static Milliseconds SinceStart(SteadyTime time) {
    return std::chrono::duration_cast<Milliseconds>(time - SteadyTime());
  }

  SteadyTime now_ = SteadyTime() + Milliseconds(1'000);
  OwnerElection election_{"me"};
};

// Guards against a claim before the stream was read.
TEST_F(OwnerElectionTest, MayClaim_BeforeTheFirstRead_IsFalse) {
  EXPECT_FALSE(election_.MayClaim(now_));
  election_.OnRead(now_);
  EXPECT_TRUE(election_.MayClaim(now_));
}

// Guards against a claim against a living owner whose heartbeats wait behind its other records.
TEST_F(OwnerElectionTest, MayClaim_WhileTheOwnerWritesOtherRecords_IsFalse) {
  election_.OnRead(now_);
  election_.OnOwner({1, "other", OwnerPhase::kActive}, now_);
  ReadUntil(election_, Milliseconds(2'300));
  election_.OnOwnerActivity(now_);
  ReadUntil(election_, Milliseconds(3'600));
  EXPECT_FALSE(election_.MayClaim(now_));
  ReadUntil(election_, Milliseconds(3'800));
  EXPECT_TRUE(election_.MayClaim(now_));
}

// Guards against ends that an owner records after its resignation delaying the next claim.
TEST_F(OwnerElectionTest, EarliestClaim_AfterAResignation_IgnoresLaterRecords) {
  election_.OnRead(now_);
  election_.OnOwner({1, "other", OwnerPhase::kResigned}, now_);
  election_.OnOwnerActivity(now_ + Milliseconds(200));
  EXPECT_EQ(election_.EarliestClaim(now_), now_);
}

// Guards against a small instance becoming the owner of a fleet that is too large for it to plan
// for in time.
TEST_F(OwnerElectionTest, MayClaim_OfASmallerInstance_ComesAfterTheLargerOnes) {
  OwnerElection small("small", 120);
  OwnerElection large("large", 500);
  for (OwnerElection* it : {&small, &large}) {
    it->OnInstance({"small", "10.0.0.1:80", 120});
    it->OnInstance({"large", "10.0.0.2:80", 500});
    it->OnRead(now_);
    it->OnOwner({1, "other", OwnerPhase::kActive}, now_);
  }
  const SteadyTime smaller_claims_at =
      now_ + OwnerElection::kOwnerTimeout + OwnerElection::kSmallerInstanceDelay;
  for (; !large.MayClaim(now_); now_ += Milliseconds(10)) {
    large.OnRead(now_);
    small.OnRead(now_);
    EXPECT_FALSE(small.MayClaim(now_));
  }
  for (; now_ < smaller_claims_at; now_ += Milliseconds(10)) {
    small.OnRead(now_);
    EXPECT_FALSE(small.MayClaim(now_));
  }
  small.OnRead(now_);
  EXPECT_TRUE(small.MayClaim(now_));
}

// Guards against an instance that never claims after it was restarted with a smaller share.
TEST_F(OwnerElectionTest, MayClaim_OfAnInstanceThatWasLarger_IsTrueAfterItsDelay) {
  OwnerElection shrunk("me", 120);
  shrunk.OnInstance({"me", "10.0.0.1:80", 500});
  shrunk.OnRead(now_);
  shrunk.OnOwner({1, "other", OwnerPhase::kActive}, now_);
  now_ += OwnerElection::kOwnerTimeout + OwnerElection::kSmallerInstanceDelay;
  shrunk.OnRead(now_);
  EXPECT_TRUE(shrunk.MayClaim(now_));
}

// Guards against a small owner that keeps a fleet for which its plans are too slow, after it
// claimed while the larger instances could not.
TEST_F(OwnerElectionTest, MayClaim_FromASmallerOwnerThatIsAlive_IsTrueAfterItsTerm) {
  OwnerElection large("large", 500);
  large.OnInstance({"small", "10.0.0.1:80", 120});
  large.OnRead(now_);
  large.OnOwner({1, "small", OwnerPhase::kActive}, now_);
  const SteadyTime term_ends_at = now_ + OwnerElection::kSmallerOwnerTerm;
  for (; now_ < term_ends_at; now_ += Milliseconds(100)) {
    large.OnRead(now_);
    large.OnOwner({1, "small", OwnerPhase::kActive}, now_);
    EXPECT_FALSE(large.MayClaim(now_));
  }
  large.OnRead(now_);
  large.OnOwner({1, "small", OwnerPhase::kActive}, now_);
  EXPECT_TRUE(large.MayClaim(now_));
}

// Guards against owners of the same size, or of one that is not known, that replace each other.
TEST_F(OwnerElectionTest, MayClaim_FromALivingOwnerThatIsNotKnownToBeSmaller_IsFalse) {
  for (const std::int64_t size : {0, 500, 1'000}) {
    OwnerElection election("me", 500);
    election.OnInstance({"other", "10.0.0.1:80", size});
    for (int n = 0; n < 100; ++n, now_ += Milliseconds(100)) {
      election.OnRead(now_);
      election.OnOwner({1, "other", OwnerPhase::kActive}, now_);
      EXPECT_FALSE(election.MayClaim(now_)) << size;
    }
  }
}

// Guards against a claim at the first start of a system, before the instances know each other's
// sizes.
TEST_F(OwnerElectionTest, MayClaim_AtTheFirstStart_WaitsForTheSizesOfPeers) {
  OwnerElection election("me", 120);
  election.OnRead(now_);
  EXPECT_FALSE(election.MayClaim(now_));
  now_ += Milliseconds(500);
  election.OnRead(now_);
  EXPECT_TRUE(election.MayClaim(now_));
}

// Guards against replacing a live owner, and against never replacing a dead one.
TEST_F(OwnerElectionTest, MayClaim_AfterTheOwnerTimeout_IsTrue) {
  election_.OnRead(now_);
  election_.OnOwner({1, "other", OwnerPhase::kActive}, now_);
  ReadUntil(election_, Milliseconds(2'300));
  EXPECT_FALSE(election_.MayClaim(now_));
  ReadUntil(election_, Milliseconds(2'500));
  EXPECT_TRUE(election_.MayClaim(now_));
}

// Guards against replacing an owner because no instance could reach the store.
TEST_F(OwnerElectionTest, MayClaim_AfterAnOutage_WaitsForTheFullOwnerTimeout) {
  election_.OnRead(now_);
  election_.OnOwner({1, "other", OwnerPhase::kActive}, now_);
  election_.OnReadFailed();
  now_ += Milliseconds(10'000);
  EXPECT_FALSE(election_.MayClaim(now_));
  election_.OnRead(now_);
  EXPECT_FALSE(election_.MayClaim(now_));
}

// Guards against waiting for the owner timeout after a planned stop, or after a restart of the
// owner.
TEST_F(OwnerElectionTest, MayClaim_AfterResignationOrOwnRestart_IsTrueAtOnce) {
  election_.OnRead(now_);
  election_.OnOwner({1, "other", OwnerPhase::kResigned}, now_);
  EXPECT_TRUE(election_.MayClaim(now_));
  election_.OnOwner({2, "me", OwnerPhase::kActive}, now_);
  EXPECT_TRUE(election_.MayClaim(now_));
}

// Guards against a restarted owner that waits for claims of others to spread, although no other
// instance may claim before the owner timeout.
TEST_F(OwnerElectionTest, MayClaim_AfterOwnRestartWithPeers_IsTrueAtOnce) {
  OwnerElection restarted("me");
  restarted.OnInstance({"me", "10.0.0.1:80"});
  restarted.OnInstance({"other", "10.0.0.2:80"});
  restarted.OnRead(now_);
  restarted.OnOwner({2, "me", OwnerPhase::kActive}, now_);
  EXPECT_TRUE(restarted.MayClaim(now_));
  restarted.OnOwner({2, "me", OwnerPhase::kResigned}, now_);
  EXPECT_FALSE(restarted.MayClaim(now_));
}

// Guards against an instance that reaches no worker and takes over before its peers when its
// successor dies too, because its turn comes early.
TEST_F(OwnerElectionTest, EarliestClaim_OfAnInstanceThatHandedOver_ComesAfterThoseOfPeers) {
  constexpr int kDead = 100;
  for (std::uint64_t epoch = 2; epoch < 40; ++epoch) {
    OwnerElection rested("me", 500);
    OwnerElection peer("peer", 120);
    for (OwnerElection* it : {&rested, &peer}) {
      it->OnInstance({"me", "10.0.0.1:80", 500});
      it->OnInstance({"peer", "10.0.0.1:80", 120});
      for (int n = 0; n < kDead; ++n) {
        it->OnInstance({"dead-" + std::to_string(n), "10.0.0.1:80", 120});
      }
      it->OnRead(now_);
    }
    rested.OnHandOver(now_);
    for (OwnerElection* it : {&rested, &peer}) {
      it->OnOwner({epoch, "successor", OwnerPhase::kActive}, now_);
    }
    EXPECT_GT(rested.EarliestClaim(now_), peer.EarliestClaim(now_)) << epoch;
  }
}

// Guards against an instance that takes back at once the ownership that it handed over, from its
// own record of before or after the resignation.
TEST_F(OwnerElectionTest, MayClaim_AfterAHandOver_LeavesTheClaimToPeers) {
  OwnerElection peer("peer");
  const OwnerRecord active{1, "me", OwnerPhase::kActive};
  const OwnerRecord resigned{1, "me", OwnerPhase::kResigned};
  for (OwnerElection* it : {&election_, &peer}) {
    for (const char* instance : {"me", "peer", "dead-1", "dead-2", "dead-3"}) {
      it->OnInstance({instance, "10.0.0.1:80"});
    }
    it->OnRead(now_);
    it->OnOwner(active, now_);
  }
  election_.OnHandOver(now_);
  EXPECT_FALSE(election_.MayClaim(now_));
  for (OwnerElection* it : {&election_, &peer}) {
    it->OnOwner(resigned, now_);
  }
  for (; !peer.MayClaim(now_); now_ += Milliseconds(10)) {
    EXPECT_FALSE(election_.MayClaim(now_));
  }
  ReadUntil(election_, SinceStart(now_) + Milliseconds(300));
  EXPECT_FALSE(election_.MayClaim(now_));
}

// Guards against workers without an owner where the peers are gone.
TEST_F(OwnerElectionTest, MayClaim_AfterAHandOverThatNobodyTakes_IsTrueAfterTheClaimDelay) {
  election_.OnRead(now_);
  election_.OnHandOver(now_);
  election_.OnOwner({1, "me", OwnerPhase::kResigned}, now_);
  const SteadyTime handed_over_at = now_;
  ReadUntil(election_, SinceStart(handed_over_at + OwnerHandOver::kMaxClaimDelay));
  EXPECT_FALSE(election_.MayClaim(handed_over_at + OwnerHandOver::kMaxClaimDelay * 9 / 10));
  EXPECT_TRUE(election_.MayClaim(handed_over_at + OwnerHandOver::kMaxClaimDelay));
}

// Guards against an instance that comes last for ever after one hand-over.
TEST_F(OwnerElectionTest, MayClaim_LongAfterAHandOver_IsTrueAtOnce) {
  election_.OnRead(now_);
  election_.OnHandOver(now_);
  ReadUntil(election_, SinceStart(now_) + OwnerHandOver::kRest);
  election_.OnOwner({2, "other", OwnerPhase::kResigned}, now_);
  EXPECT_TRUE(election_.MayClaim(now_));
}

// Guards against claims that are repeated ten times a second while the store refuses them.
TEST_F(OwnerElectionTest, MayClaim_AfterAFailedClaim_WaitsForTheRetryDelay) {
  election_.OnRead(now_);
  election_.OnClaimAnswered(now_);
  EXPECT_FALSE(election_.MayClaim(now_));
  EXPECT_TRUE(election_.MayClaim(now_ + OwnerElection::kClaimRetryDelay));
}

// Guards against epochs that do not rise, or that two instances share.
TEST_F(OwnerElectionTest, NextEpoch_AfterAnOwner_IsHigherAndDiffersByNonce) {
  const std::uint64_t first = election_.NextEpoch(7);
  election_.OnOwner({first, "other", OwnerPhase::kActive}, now_);
  EXPECT_GT(election_.NextEpoch(0), first);
  EXPECT_NE(election_.NextEpoch(1), election_.NextEpoch(2));
}

// Guards against a successor that is deposed at once by claims that others had sent before they
// read its own.
TEST_F(OwnerElectionTest, NextEpoch_OfAnEarlierCandidate_IsHigher) {
  constexpr std::uint64_t kMaxNonce = 0xffffffff;
  OwnerElection large("large", 500);
  OwnerElection small("small", 120);
  for (OwnerElection* it : {&large, &small}) {
    it->OnInstance({"large", "10.0.0.1:80", 500});
    it->OnInstance({"small", "10.0.0.2:80", 120});
    it->OnRead(now_);
    it->OnOwner({7, "other", OwnerPhase::kActive}, now_);
  }
  EXPECT_GT(large.NextEpoch(0), small.NextEpoch(kMaxNonce));
}

// Guards against an owner that stops although only the store is unreachable, or that continues
// while it reaches only a minority of the workers.
TEST_F(OwnerElectionTest, MayContinue_WithoutTheStore_NeedsTheMajorityOfWorkers) {
  EXPECT_TRUE(OwnerContact::MayContinue(Milliseconds(1'000), 0, 10));
  EXPECT_TRUE(OwnerContact::MayContinue(Milliseconds(9'000), 6, 10));
  EXPECT_FALSE(OwnerContact::MayContinue(Milliseconds(9'000), 5, 10));
  EXPECT_FALSE(OwnerContact::MayContinue(OwnerContact::kMaxUnconfirmed + Milliseconds(1), 10, 10));
}

// Guards against treating a lease as expired while the worker's slow clock has not reached its end.
TEST_F(OwnerElectionTest, Lease_OnASlowClock_EndsLaterThanItsLength) {
  WorkerLease lease;
  EXPECT_FALSE(lease.Grant(Milliseconds(5'000), now_).has_value());
  lease.OnClock(70'000, now_);
  EXPECT_EQ(lease.Grant(Milliseconds(5'000), now_ + Milliseconds(100)), 75'100);
  EXPECT_GT(*lease.LeasesExpiredAt(), now_ + Milliseconds(5'200));
}

}  // namespace
}  // namespace clementineloom::workload
