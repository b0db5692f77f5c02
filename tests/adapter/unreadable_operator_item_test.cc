#include <gtest/gtest.h>

#include <string>
#include <variant>

#include "platform/platform_adapter.h"
#include "support/log_file.h"

namespace clementineloom::adapter {
namespace {

class UnreadableOperatorItemTest : public testing::Test {
 protected:
  // The configuration with one queue and one team, each with a further member.
  static workload::WorkloadConfig Parse(const std::string& queue_member,
                                        const std::string& team_member) {
    const auto item = PlatformAdapter::ParseOperatorItem(
        {"config",
         R"({"version":7,"routes":[{"name":"r","host":"h","pathPrefix":"/p/","service":"s")" +
             queue_member + R"(}],"tenants":[{"name":"t","apiKeys":["k"])" + team_member + "}]}"});
    const auto* config = std::get_if<workload::WorkloadConfig>(&item);
    EXPECT_NE(config, nullptr);
    return config == nullptr ? workload::WorkloadConfig() : *config;
  }

  const testing_support::LogFile log_{"operator-item"};
};

// Guards against a team that loses its guarantee, or its access, without a word: a guarantee that
// cannot be read counts as none, and a log line names the team and the reason.
TEST_F(UnreadableOperatorItemTest, ParseOperatorItem_WithUnreadableGuarantee_KeepsTeamAndLogs) {
  for (const char* guarantee :
       {R"({"gpus":-1})", R"({"gpus":1e300})", R"({"gpus":"72"})", R"({"gpus":0.5})", "72"}) {
    const auto config = Parse("", R"(,"guaranteed":)" + std::string(guarantee));
    ASSERT_NE(config.TeamOfKey("k"), nullptr) << guarantee;
    EXPECT_EQ(config.TeamOfKey("k")->guaranteed_accelerators, 0) << guarantee;
  }
  EXPECT_TRUE(log_.Contains("guarantee_ignored team=t reason=out_of_range member=gpus"));
  EXPECT_TRUE(log_.Contains("guarantee_ignored team=t reason=wrong_type member=gpus"));
  EXPECT_TRUE(log_.Contains("guarantee_ignored team=t reason=wrong_type member=guaranteed"));
}

// Guards against log lines for teams without a guarantee, which are no mistake.
TEST_F(UnreadableOperatorItemTest, ParseOperatorItem_WithoutGuarantee_LogsNothing) {
  for (const char* member : {"", R"(,"guaranteed":{})", R"(,"guaranteed":null)"}) {
    ASSERT_NE(Parse("", member).TeamOfKey("k"), nullptr) << member;
  }
  (void)Parse("", R"(,"guaranteed":{"gpus":"end"})");
  EXPECT_TRUE(log_.Contains("guarantee_ignored"));
  const std::string text = log_.Read();
  EXPECT_EQ(text.find("guarantee_ignored"), text.rfind("guarantee_ignored")) << text;
}

// Guards against a queue that disappears without a word, and against a stretch of another type that
// counts as 1.
TEST_F(UnreadableOperatorItemTest, ParseOperatorItem_WithUnreadableQueue_OmitsItAndLogs) {
  EXPECT_TRUE(Parse(R"(,"stretch":"2")", "").queues.empty());
  EXPECT_TRUE(log_.Contains("queue_ignored queue=r reason=wrong_type member=stretch"));
  EXPECT_TRUE(Parse(R"(,"stretch":-1)", "").queues.empty());
  EXPECT_TRUE(log_.Contains("queue_ignored queue=r reason=out_of_range member=stretch"));
  EXPECT_TRUE(Parse(R"(,"priority":-1)", "").queues.empty());
  EXPECT_TRUE(log_.Contains("queue_ignored queue=r reason=out_of_range member=priority"));
}

}  // namespace
}  // namespace clementineloom::adapter
