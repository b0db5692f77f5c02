#include "clementineloom/workload/owner_hand_over.h"

#include <gtest/gtest.h>

#include <optional>

namespace clementineloom::workload {
namespace {

class OwnerHandOverTest : public testing::Test {
 protected:
  // An owner that reached workers until they fell silent.
  HandOverInputs inputs_{.silence = OwnerHandOver::kMaxSilence,
                         .has_answered = true,
                         .has_work = true,
                         .has_peers = true,
                         .unconfirmed = Milliseconds(0),
                         .since_hand_over = std::nullopt};
};

// Guards against an owner that keeps the ownership, or gives it up because one call is lost.
TEST_F(OwnerHandOverTest, IsDue_AfterTheLongestSilence_IsTrue) {
  EXPECT_TRUE(OwnerHandOver::IsDue(inputs_));
  inputs_.silence -= Milliseconds(1);
  EXPECT_FALSE(OwnerHandOver::IsDue(inputs_));
}

// Guards against an idle owner that gives up although nothing depends on the workers.
TEST_F(OwnerHandOverTest, IsDue_WithoutWork_IsFalse) {
  inputs_.has_work = false;
  EXPECT_FALSE(OwnerHandOver::IsDue(inputs_));
}

// Guards against a time without an owner where no other instance can take over.
TEST_F(OwnerHandOverTest, IsDue_WithoutPeers_IsFalse) {
  inputs_.has_peers = false;
  EXPECT_FALSE(OwnerHandOver::IsDue(inputs_));
}

// Guards against a resignation that waits for the store while the owner could still work.
TEST_F(OwnerHandOverTest, IsDue_WithoutTheStore_IsFalse) {
  inputs_.unconfirmed = OwnerContact::kGrace + Milliseconds(1);
  EXPECT_FALSE(OwnerHandOver::IsDue(inputs_));
}

// Guards against ownership that changes hands all the time while no instance reaches a worker.
TEST_F(OwnerHandOverTest, IsDue_OfAnOwnerThatNoWorkerHasAnswered_WaitsLonger) {
  inputs_.has_answered = false;
  EXPECT_FALSE(OwnerHandOver::IsDue(inputs_));
  inputs_.silence = OwnerHandOver::kMaxLongSilence;
  EXPECT_TRUE(OwnerHandOver::IsDue(inputs_));
}

// Guards against the same where each owner is answered now and then.
TEST_F(OwnerHandOverTest, IsDue_SoonAfterAHandOver_WaitsLonger) {
  inputs_.since_hand_over = OwnerHandOver::kRest - Milliseconds(1);
  EXPECT_FALSE(OwnerHandOver::IsDue(inputs_));
  inputs_.silence = OwnerHandOver::kMaxLongSilence;
  EXPECT_TRUE(OwnerHandOver::IsDue(inputs_));
  inputs_.silence = OwnerHandOver::kMaxSilence;
  inputs_.since_hand_over = OwnerHandOver::kRest;
  EXPECT_TRUE(OwnerHandOver::IsDue(inputs_));
}

// Guards against claims of several instances at the same time, all of which handed over.
TEST_F(OwnerHandOverTest, ClaimDelay_LongerAfterTheHandOver_IsShorter) {
  EXPECT_EQ(OwnerHandOver::ClaimDelay(Milliseconds(0)), OwnerHandOver::kMaxClaimDelay);
  EXPECT_EQ(OwnerHandOver::ClaimDelay(OwnerHandOver::kRest / 2), OwnerHandOver::kMaxClaimDelay / 2);
  EXPECT_EQ(OwnerHandOver::ClaimDelay(OwnerHandOver::kRest), Milliseconds(0));
}

}  // namespace
}  // namespace clementineloom::workload
