#include <gtest/gtest.h>

#include <string>

#include "platform/platform_adapter.h"

namespace clementineloom::adapter {
namespace {

using entry::AppendStatus;

class UnreadableAppendAnswerTest : public testing::Test {
 protected:
  static entry::AppendAnswer Parse(std::string body) {
    return PlatformAdapter::ParseAppend(
        {net::CallId(1), net::HttpResponse{200, {}, std::move(body)}, std::nullopt});
  }
};

// Guards against an acceptance that is acknowledged although nothing was stored: a page of a proxy
// with status 200 counted as an append at offset 0.
TEST_F(UnreadableAppendAnswerTest, ParseAppend_WithoutReadableOffset_IsUnknown) {
  for (const char* body :
       {"", "<html>maintenance</html>", "[]", "{}", R"({"offset":4)", R"({"offset":"4"})",
        R"({"offset":-1})", R"({"offset":0.5})", R"({"offset":1e300})"}) {
    EXPECT_EQ(Parse(body).status, AppendStatus::kUnknown) << body;
  }
}

// Guards against repetition without end of the first append to a topic.
TEST_F(UnreadableAppendAnswerTest, ParseAppend_WithOffsetZero_IsAppended) {
  EXPECT_EQ(Parse(R"({"offset":0})"), (entry::AppendAnswer{AppendStatus::kAppended, 0}));
}

}  // namespace
}  // namespace clementineloom::adapter
