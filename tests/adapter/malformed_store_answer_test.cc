#include <gtest/gtest.h>

#include <string>

#include "platform/platform_adapter.h"

namespace clementineloom::adapter {
namespace {

class MalformedStoreAnswerTest : public testing::Test {
 protected:
  static net::ClientResult Answer(std::string body) {
    return {net::CallId(1), net::HttpResponse{200, {}, std::move(body)}, std::nullopt};
  }
};

// Guards against a key that truncates or changes the query in which it is sent back.
TEST_F(MalformedStoreAnswerTest, NewestRequest_AfterKeyWithReservedBytes_IsPercentEncoded) {
  EXPECT_EQ(PlatformAdapter::NewestRequest("keyed.servers", "a b&c=d#%\r\n\xff").target,
            "/log-newest?topic=keyed.servers&part=0&dependsOn=a%20b%26c%3Dd%23%25%0D%0A%FF");
  EXPECT_EQ(PlatformAdapter::NewestRequest("keyed.loom", "t/0a.0.1.2").target,
            "/log-newest?topic=keyed.loom&part=0&dependsOn=t/0a.0.1.2");
}

// Guards against a malformed item that crashes the reader or invalidates the whole page.
TEST_F(MalformedStoreAnswerTest, ParseNewest_WithMalformedItems_KeepsOthers) {
  const auto page = PlatformAdapter::ParseNewest(Answer(
      R"({"endOffset":9,"items":[{"key":"a","value":"====","offset":1},
          {"key":"b","value":"A===","offset":2},{"key":"c","value":"YQ==","offset":-3},
          {"key":"d","value":"YQ==","offset":1e300},{"key":"e)"
      "\xff"
      R"(","value":"YQ==","offset":4},{"key":"f","value":"YQ==","offset":5}]})"));
  ASSERT_TRUE(page.has_value());
  ASSERT_FALSE(page->items.empty());
  EXPECT_EQ(page->items.back(), (entry::TopicItem{5, {"f", "a"}}));
  for (const entry::TopicItem& it : page->items) {
    EXPECT_TRUE(it.item.key == "f" || it.item.key == "e\xff") << it.item.key;
  }
}

}  // namespace
}  // namespace clementineloom::adapter
