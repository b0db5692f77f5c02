#include "clementineloom/routing/retry_policy.h"

#include <gtest/gtest.h>

#include "clementineloom/routing/idempotent_method.h"

namespace clementineloom {
namespace {

class RetryPolicyTest : public testing::Test {
 protected:
  const Refusal did_not_run_{ResultCode::kUpstreamFailed, RunState::kDidNotRun, {}};
  const Refusal timed_out_{ResultCode::kUpstreamTimedOut, RunState::kMayHaveRun, {}};
  RetryPolicy policy_{3, 10};
};

// Guards against a second run of a request that is not idempotent.
TEST_F(RetryPolicyTest, Decide_WhenNotIdempotent_RepeatsOnlyWhatDidNotRun) {
  EXPECT_EQ(policy_.Decide(false, 1, timed_out_), std::nullopt);
  EXPECT_EQ(policy_.Decide(false, 1, did_not_run_), RetryReason::kDidNotRun);
  EXPECT_EQ(policy_.Decide(true, 1, timed_out_), RetryReason::kTimedOut);
}

// Guards against more attempts than the settings allow.
TEST_F(RetryPolicyTest, Decide_AfterMaxAttempts_GivesUp) {
  EXPECT_TRUE(policy_.Decide(true, 2, timed_out_));
  EXPECT_FALSE(policy_.Decide(true, 3, timed_out_));
}

// Guards against retries that multiply the load when everything fails.
TEST_F(RetryPolicyTest, Decide_WhenAllFail_StaysWithinBudget) {
  constexpr int kRequests = 1000;
  int retries = 0;
  for (int n = 0; n < kRequests; ++n) {
    policy_.AddRequest();
    retries += policy_.Decide(true, 1, timed_out_) ? 1 : 0;
  }
  // 10 percent, and the 10 retries of the initial budget.
  EXPECT_LE(retries, kRequests / 10 + 10);
  EXPECT_GE(retries, kRequests / 10);
}

// Guards against a retry of a method that RFC 9110 does not call idempotent.
TEST_F(RetryPolicyTest, IsIdempotentMethod_ForPostAndPatch_IsFalse) {
  for (const char* it : {"GET", "HEAD", "OPTIONS", "PUT", "DELETE"}) {
    EXPECT_TRUE(IsIdempotentMethod(it)) << it;
  }
  for (const char* it : {"POST", "PATCH", "CONNECT", "get", ""}) {
    EXPECT_FALSE(IsIdempotentMethod(it)) << it;
  }
}

}  // namespace
}  // namespace clementineloom
