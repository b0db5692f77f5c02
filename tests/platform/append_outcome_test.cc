#include <gtest/gtest.h>

#include <chrono>
#include <optional>
#include <string>
#include <utility>

#include "net/refusal_response.h"
#include "platform/http_log_client.h"
#include "support/answering_server.h"

namespace clementineloom::platform {
namespace {

class AppendOutcomeTest : public testing::Test {
 protected:
  std::optional<Refusal> RefusalOfAppend(net::HttpResponse answer) {
    log_.QueueAnswer(std::move(answer));
    return RefusalOf([&] { return client_.Append("control", {"a"}); });
  }

  std::optional<Refusal> RefusalOfAppend(int status, std::string body) {
    return RefusalOfAppend(net::HttpResponse{status, {}, std::move(body)});
  }

 private:
  testing_support::AnsweringServer log_;
  HttpLogClient client_{"log-client", {log_.address()}, std::chrono::seconds(10)};
};

// Guards against "did not run" for an append that took effect before a server or a proxy failed:
// its caller would repeat it under a new id.
TEST_F(AppendOutcomeTest, Append_AnsweredWithServerError_MayHaveRun) {
  for (const int status : {500, 502, 503, 504, 204, 302}) {
    const auto refusal = RefusalOfAppend(status, "");
    ASSERT_TRUE(refusal) << status;
    EXPECT_EQ(refusal->code, ResultCode::kAppendUnknown) << status;
    EXPECT_EQ(refusal->run_state, RunState::kMayHaveRun) << status;
  }
}

// Guards against a refusal whose own run state is replaced by a guess from its status.
TEST_F(AppendOutcomeTest, Append_RefusedWithRunState_ReportsThatRunState) {
  const auto refused = RefusalOfAppend(
      net::RefusalResponse({ResultCode::kOverloaded, RunState::kDidNotRun, "overloaded"}));
  ASSERT_TRUE(refused);
  EXPECT_EQ(refused->code, ResultCode::kLogUnavailable);
  EXPECT_EQ(refused->run_state, RunState::kDidNotRun);
  const auto unknown = RefusalOfAppend(
      net::RefusalResponse({ResultCode::kAppendUnknown, RunState::kMayHaveRun, "no quorum"}));
  ASSERT_TRUE(unknown);
  EXPECT_EQ(unknown->code, ResultCode::kAppendUnknown);
  EXPECT_EQ(unknown->run_state, RunState::kMayHaveRun);
  const auto conflict = RefusalOfAppend(409, R"({"run_state":"may_have_run"})");
  ASSERT_TRUE(conflict);
  EXPECT_EQ(conflict->run_state, RunState::kMayHaveRun);
}

// Guards against an unknown outcome, and so a wait for the tail, for a request that was rejected.
TEST_F(AppendOutcomeTest, Append_AnsweredWithClientError_DidNotRun) {
  for (const int status : {400, 404, 413, 429}) {
    const auto refusal = RefusalOfAppend(status, "");
    ASSERT_TRUE(refusal) << status;
    EXPECT_EQ(refusal->code, ResultCode::kLogUnavailable) << status;
    EXPECT_EQ(refusal->run_state, RunState::kDidNotRun) << status;
  }
}

}  // namespace
}  // namespace clementineloom::platform
