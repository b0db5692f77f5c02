#include <gtest/gtest.h>

#include <chrono>
#include <optional>
#include <string>
#include <utility>

#include "clementineloom/concurrency/bounded_ring.h"
#include "net/refusal_response.h"
#include "platform/http_worker_channel.h"
#include "platform/worker_client.h"
#include "support/answering_server.h"

namespace clementineloom::platform {
namespace {

class WorkerOutcomeTest : public testing::Test {
 protected:
  static constexpr std::chrono::seconds kTimeout{10};

  std::optional<Refusal> RefusalOfStop(net::HttpResponse answer) {
    worker_.QueueAnswer(std::move(answer));
    return RefusalOf([&] { return client_.Stop(worker_.address(), TaskKey()); });
  }

  std::optional<RunState> RunStateInChannel(net::HttpResponse answer) {
    worker_.QueueAnswer(std::move(answer));
    EXPECT_TRUE(channel_.Send({net::CallId(1), worker_.address(), StopCommand()}));
    const WorkerResult result = *results_.Pop();
    const auto* refusal = std::get_if<Refusal>(&result.outcome);
    return refusal == nullptr ? std::nullopt : std::optional(refusal->run_state);
  }

 private:
  testing_support::AnsweringServer worker_;
  BoundedRing<WorkerResult> results_{4};
  WorkerClient client_{"worker-client", kTimeout};
  HttpWorkerChannel channel_{"channel", kTimeout,
                             [this](WorkerResult it) { (void)results_.Push(std::move(it)); }};
};

// Guards against "did not run" for a command that a worker may have carried out before it failed.
TEST_F(WorkerOutcomeTest, Command_AnsweredWithServerError_MayHaveRun) {
  for (const int status : {500, 502, 503, 504}) {
    const net::HttpResponse answer{status, {}, ""};
    const auto refusal = RefusalOfStop(answer);
    ASSERT_TRUE(refusal) << status;
    EXPECT_EQ(refusal->run_state, RunState::kMayHaveRun) << status;
    EXPECT_EQ(RunStateInChannel(answer), RunState::kMayHaveRun) << status;
  }
}

// Guards against an unknown outcome of a command that the worker itself refused.
TEST_F(WorkerOutcomeTest, Command_RefusedWithRunState_DidNotRun) {
  const net::HttpResponse answer =
      net::RefusalResponse({ResultCode::kWorkerRefused, RunState::kDidNotRun, "refused"});
  const auto refusal = RefusalOfStop(answer);
  ASSERT_TRUE(refusal);
  EXPECT_EQ(refusal->run_state, RunState::kDidNotRun);
  EXPECT_EQ(RunStateInChannel(answer), RunState::kDidNotRun);
}

}  // namespace
}  // namespace clementineloom::platform
