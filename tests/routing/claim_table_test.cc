#include "clementineloom/routing/claim_table.h"

#include <gtest/gtest.h>

#include <string>

namespace clementineloom {
namespace {

class ClaimTableTest : public testing::Test {
 protected:
  void Claim(const std::string& claim, const std::string& key) {
    table_.Apply(RequestClaimed{claim, {"team", key}, "digest", "gw"}, {});
  }

  void Complete(const std::string& claim, std::size_t body_bytes) {
    const StoredAnswer answer{200, {}, std::string(body_bytes, 'x')};
    table_.Apply(RequestCompleted{claim, RunState::kRan, answer}, {});
  }

  const ClaimEntry* Find(const std::string& key) const { return table_.Find({"team", key}); }

  ClaimTable table_{ClaimTable::Limits{3, 100}};
};

// Guards against two gateways running a request: only the first claim in log order counts.
TEST_F(ClaimTableTest, Apply_WhenKeyIsClaimedTwice_KeepsFirst) {
  Claim("c1", "k");
  Claim("c2", "k");
  Complete("c2", 1);
  EXPECT_EQ(Find("k")->claim, "c1");
  EXPECT_FALSE(Find("k")->run_state);
}

// Guards against a key that stays claimed although its request provably did not run.
TEST_F(ClaimTableTest, Apply_AfterRelease_TakesNextClaim) {
  Claim("c1", "k");
  table_.Apply(RequestReleased{"c1"}, {});
  EXPECT_EQ(Find("k"), nullptr);
  Claim("c2", "k");
  EXPECT_EQ(Find("k")->claim, "c2");
}

// Guards against a second run after a release that comes later than the outcome.
TEST_F(ClaimTableTest, Apply_WhenReleasedAfterCompletion_KeepsOutcome) {
  Claim("c1", "k");
  Complete("c1", 1);
  table_.Apply(RequestReleased{"c1"}, {});
  ASSERT_NE(Find("k"), nullptr);
  EXPECT_EQ(Find("k")->run_state, RunState::kRan);
}

// Guards against a table that grows with every request, and against dropping the newest claims.
TEST_F(ClaimTableTest, Apply_BeyondLimits_ForgetsOldest) {
  for (int n = 1; n <= 4; ++n) {
    Claim("c" + std::to_string(n), "k" + std::to_string(n));
    Complete("c" + std::to_string(n), 60);
  }
  EXPECT_EQ(table_.size(), 3U);
  EXPECT_EQ(Find("k1"), nullptr);
  EXPECT_FALSE(Find("k3")->answer);
  EXPECT_EQ(Find("k3")->run_state, RunState::kRan);
  EXPECT_TRUE(Find("k4")->answer);
}

}  // namespace
}  // namespace clementineloom
