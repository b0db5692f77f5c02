#include "clementineloom/routing/outstanding_requests.h"

#include <gtest/gtest.h>

namespace clementineloom {
namespace {

class OutstandingRequestsTest : public testing::Test {
 protected:
  void Serve() {
    requests_.Add(upstream_.worker);
    requests_.Remove(upstream_.worker);
    requests_.Answered(upstream_.worker);
  }

  const Upstream upstream_{WorkerId(1), "127.0.0.1:1", DataCentreId(0), 3};
  MonotonicTime now_ = MonotonicTime(std::chrono::hours(1));
  OutstandingRequests requests_;
};

// Guards against a burst to a worker that has just joined.
TEST_F(OutstandingRequestsTest, HasFreeSlot_AfterJoin_GrowsByOneWithEachAnswer) {
  requests_.Joined(upstream_.worker);
  requests_.Add(upstream_.worker);
  EXPECT_FALSE(requests_.HasFreeSlot(upstream_));
  requests_.Remove(upstream_.worker);
  Serve();
  requests_.Add(upstream_.worker);
  EXPECT_TRUE(requests_.HasFreeSlot(upstream_));
}

// Guards against more requests than a worker has slots.
TEST_F(OutstandingRequestsTest, HasFreeSlot_AfterManyAnswers_EndsAtSlots) {
  for (int n = 0; n < 10; ++n) {
    Serve();
  }
  for (int n = 0; n < 3; ++n) {
    EXPECT_TRUE(requests_.HasFreeSlot(upstream_));
    requests_.Add(upstream_.worker);
  }
  EXPECT_FALSE(requests_.HasFreeSlot(upstream_));
}

// Guards against a failed worker that keeps getting requests because it has none in progress.
TEST_F(OutstandingRequestsTest, HasFreeSlot_AfterFailures_PausesForDoublingTime) {
  requests_.SetNow(now_);
  requests_.Failed(upstream_.worker);
  requests_.Failed(upstream_.worker);
  requests_.SetNow(now_ + std::chrono::milliseconds(199));
  EXPECT_FALSE(requests_.HasFreeSlot(upstream_));
  requests_.SetNow(now_ + std::chrono::milliseconds(200));
  EXPECT_TRUE(requests_.HasFreeSlot(upstream_));
}

// Guards against entries of workers that left, which stay in memory for good.
TEST_F(OutstandingRequestsTest, Left_WithARequestInProgress_ForgetsTheWorkerAfterItsAnswer) {
  requests_.Joined(upstream_.worker);
  requests_.Add(upstream_.worker);
  requests_.Left(upstream_.worker);
  EXPECT_EQ(requests_.At(upstream_.worker), 1U);
  requests_.Answered(upstream_.worker);
  requests_.Remove(upstream_.worker);
  EXPECT_EQ(requests_.worker_count(), 0U);
}

// Guards against forgetting the requests in progress of a worker that left and joined again.
TEST_F(OutstandingRequestsTest, Joined_AfterItLeftWithARequestInProgress_KeepsTheWorker) {
  requests_.Joined(upstream_.worker);
  requests_.Add(upstream_.worker);
  requests_.Left(upstream_.worker);
  requests_.Joined(upstream_.worker);
  requests_.Remove(upstream_.worker);
  EXPECT_EQ(requests_.worker_count(), 1U);
}

}  // namespace
}  // namespace clementineloom
