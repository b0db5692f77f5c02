#include <gtest/gtest.h>

#include <string>
#include <variant>

#include "platform/platform_adapter.h"

namespace clementineloom::adapter {
namespace {

class OutOfRangeOperatorItemTest : public testing::Test {};

// Guards against negative numbers that become huge unsigned ones: after a configuration with the
// version -1, no later version was accepted.
TEST_F(OutOfRangeOperatorItemTest, ParseOperatorItem_WithNumbersOutOfRange_IsOmitted) {
  const auto parse = [](const std::string& version, const std::string& member) {
    return PlatformAdapter::ParseOperatorItem(
        {"config", R"({"version":)" + version +
                       R"(,"routes":[{"name":"r","host":"h","pathPrefix":"/p/","service":"s")" +
                       member + "}]}"});
  };
  EXPECT_TRUE(std::holds_alternative<std::monostate>(parse("-1", "")));
  for (const char* member :
       {R"(,"priority":-1)", R"(,"priority":4294967296)", R"(,"maxAttempts":-1)",
        R"(,"stretch":-1)", R"(,"stretch":1e300)", R"(,"targetLatencyMs":9223372036854775807)"}) {
    const auto item = parse("7", member);
    const auto* config = std::get_if<workload::WorkloadConfig>(&item);
    ASSERT_NE(config, nullptr) << member;
    EXPECT_TRUE(config->queues.empty()) << member;
  }
  const auto item = parse("7", R"(,"priority":3,"stretch":2)");
  EXPECT_EQ(std::get<workload::WorkloadConfig>(item).queues.size(), 1U);
}

}  // namespace
}  // namespace clementineloom::adapter
