#include "platform/worker_client.h"

#include <gtest/gtest.h>

#include <chrono>
#include <memory>
#include <string>

#include "fakes/fake_worker_server.h"
#include "support/http_caller.h"
#include "support/value_or_die.h"

namespace clementineloom::platform {
namespace {

using std::chrono::milliseconds;
using testing_support::ValueOrDie;

class WorkerClientTest : public testing::Test {
 protected:
  void SetFaults(const std::string& body) {
    const net::ClientResult result = caller_.Call(address_, {"POST", "/v1/faults", {}, body});
    ASSERT_TRUE(result.response);
    ASSERT_EQ(result.response->status, 200);
  }

  TaskReport Reserve(const TaskKey& key) {
    return ValueOrDie([&] { return client_.Reserve(address_, {key, 8, Duration(60'000)}); });
  }

  std::optional<Refusal> RefusalOfStart(const TaskKey& key, const std::string& command) {
    return RefusalOf([&] { return client_.Start(address_, {key, command, Duration(60'000)}); });
  }

  const TaskKey key_{JobId(7), 1, FencingToken(70)};
  std::unique_ptr<fakes::FakeWorkerServer> worker_ =
      ValueOrDie([] { return fakes::FakeWorkerServer::Start(0); });
  std::string address_ = "127.0.0.1:" + std::to_string(worker_->port());
  testing_support::HttpCaller caller_;
  WorkerClient client_{"worker-client", milliseconds(1'000)};
};

// Guards against a field of a command or report that is lost or changed by the protocol.
TEST_F(WorkerClientTest, Commands_OfOneTask_AreReported) {
  EXPECT_EQ(Reserve(key_).state, TaskState::kReserved);
  EXPECT_FALSE(RefusalOfStart(key_, "sleep_ms=3600000"));
  const auto renewed = ValueOrDie([&] {
    return client_.Renew(address_, {key_, Duration(60'000)});
  });
  EXPECT_EQ(renewed.state, TaskState::kRunning);
  const auto checkpointed = ValueOrDie([&] { return client_.Checkpoint(address_, key_); });
  EXPECT_TRUE(checkpointed.is_checkpointed);
  const auto stopped = ValueOrDie([&] { return client_.Stop(address_, key_); });
  EXPECT_EQ(stopped.state, TaskState::kStopped);
  const WorkerReport report = ValueOrDie([&] { return client_.Tasks(address_); });
  EXPECT_EQ(report.worker, "worker");
  EXPECT_EQ(report.accelerators, 8);
  ASSERT_EQ(report.tasks.size(), 1U);
  EXPECT_EQ(report.tasks.front().key, key_);
  EXPECT_EQ(report.tasks.front().accelerators, 8);
}

// Guards against a superseded owner of the job that is not told why it is refused.
TEST_F(WorkerClientTest, Start_WithOlderToken_IsRefusedAsSuperseded) {
  Reserve({JobId(7), 2, FencingToken(80)});
  const auto refusal = RefusalOfStart(key_, "");
  ASSERT_TRUE(refusal);
  EXPECT_EQ(refusal->code, ResultCode::kTokenSuperseded);
}

// Guards against a start whose answer was lost being taken for one that did not run.
TEST_F(WorkerClientTest, Start_WhenAnswerIsLost_MayHaveRunAndCanBeRepeated) {
  Reserve(key_);
  SetFaults(R"({"lose_answer":1})");
  const auto refusal = RefusalOfStart(key_, "sleep_ms=3600000");
  ASSERT_TRUE(refusal);
  EXPECT_EQ(refusal->code, ResultCode::kWorkerUnreachable);
  EXPECT_EQ(refusal->run_state, RunState::kMayHaveRun);
  EXPECT_EQ(ValueOrDie([&] { return client_.Tasks(address_); }).tasks.front().state,
            TaskState::kRunning);
  EXPECT_FALSE(RefusalOfStart(key_, "sleep_ms=3600000"));
}

// Guards against a refused start that is taken for an unreachable worker.
TEST_F(WorkerClientTest, Start_WhenWorkerRefuses_DidNotRun) {
  Reserve(key_);
  SetFaults(R"({"refuse_start":true})");
  const auto refusal = RefusalOfStart(key_, "");
  ASSERT_TRUE(refusal);
  EXPECT_EQ(refusal->code, ResultCode::kWorkerRefused);
  EXPECT_EQ(refusal->run_state, RunState::kDidNotRun);
}

// Guards against a frozen worker that blocks the caller, or loses its reservations on recovery.
TEST_F(WorkerClientTest, Tasks_WhenWorkerIsFrozen_TimesOutAndRecovers) {
  Reserve(key_);
  SetFaults(R"({"freeze":true})");
  const auto refusal = RefusalOf([&] { return client_.Tasks(address_); });
  ASSERT_TRUE(refusal);
  EXPECT_EQ(refusal->code, ResultCode::kWorkerUnreachable);
  SetFaults(R"({"freeze":false})");
  EXPECT_EQ(ValueOrDie([&] { return client_.Tasks(address_); }).tasks.size(), 1U);
}

// Guards against a start that counts as possibly run although no worker was reached.
TEST_F(WorkerClientTest, Start_WhenNothingListens_DidNotRun) {
  worker_.reset();
  const auto refusal = RefusalOfStart(key_, "");
  ASSERT_TRUE(refusal);
  EXPECT_EQ(refusal->code, ResultCode::kWorkerUnreachable);
  EXPECT_EQ(refusal->run_state, RunState::kDidNotRun);
}

// Guards against a ledger that misses a second run of a request.
TEST_F(WorkerClientTest, Ledger_AfterRepeatedRequest_CountsBothRuns) {
  const net::HttpRequest request{"POST", "/serve/echo",
                                 net::HttpHeaders().With("X-Request-Id", "r1"), "body"};
  ASSERT_TRUE(caller_.Call(address_, request).response);
  ASSERT_TRUE(caller_.Call(address_, request).response);
  const net::ClientResult result = caller_.Call(address_, {"GET", "/v1/ledger", {}, {}});
  ASSERT_TRUE(result.response);
  EXPECT_EQ(result.response->body, "{\"requests\":[{\"id\":\"r1\",\"runs\":2}]}\n");
}

}  // namespace
}  // namespace clementineloom::platform
