#include "platform/http_log_client.h"

#include <gtest/gtest.h>

#include <chrono>
#include <memory>
#include <string>
#include <thread>

#include "fakes/fake_log_server.h"
#include "support/http_caller.h"
#include "support/value_or_die.h"

namespace clementineloom::platform {
namespace {

using std::chrono::milliseconds;
using testing_support::ValueOrDie;

constexpr milliseconds kNoWait(0);
constexpr milliseconds kLongWait(20'000);

class HttpLogClientTest : public testing::Test {
 protected:
  void SetFaults(const std::string& body) {
    const net::ClientResult result = caller_.Call(address_, {"POST", "/v1/faults", {}, body});
    ASSERT_TRUE(result.response);
    ASSERT_EQ(result.response->status, 200);
  }

  LogOffset Append(const std::vector<std::string>& payloads) {
    return ValueOrDie([&] { return client_.Append("control", payloads); });
  }

  ReadBatch Read(std::uint64_t from, milliseconds wait = kNoWait) {
    return ValueOrDie([&] { return client_.Read("control", LogOffset(from), 100, wait); });
  }

  std::unique_ptr<fakes::FakeLogServer> log_ =
      ValueOrDie([] { return fakes::FakeLogServer::Start(); });
  std::string address_ = "127.0.0.1:" + std::to_string(log_->port());
  testing_support::HttpCaller caller_;
  HttpLogClient client_{"log-client", {address_}, milliseconds(1'000)};
};

// Guards against records that change order or offset between append and read.
TEST_F(HttpLogClientTest, Read_AfterAppends_ReturnsRecordsInOrder) {
  EXPECT_EQ(Append({"a", "b"}), LogOffset(1));
  EXPECT_EQ(Append({"c"}), LogOffset(3));
  const ReadBatch expected{{{LogOffset(2), "b"}, {LogOffset(3), "c"}}, LogOffset(3), LogOffset(1)};
  EXPECT_EQ(Read(2), expected);
}

// Guards against a waiting reader that misses a record or blocks the appends of others.
TEST_F(HttpLogClientTest, Read_WhileWaiting_ReturnsWhenRecordArrives) {
  ReadBatch batch;
  std::thread reader([&] {
    HttpLogClient client("log-reader", {address_});
    batch = ValueOrDie([&] { return client.Read("control", LogOffset(1), 100, kLongWait); });
  });
  Append({"a"});
  reader.join();
  EXPECT_EQ(batch.records.size(), 1U);
}

// Guards against an append whose answer was lost being taken for one that did not run.
TEST_F(HttpLogClientTest, Append_WhenAnswerIsLost_IsUnknownAndTookEffect) {
  SetFaults(R"({"lose_answer":1})");
  const auto refusal = RefusalOf([&] { return client_.Append("control", {"a"}); });
  ASSERT_TRUE(refusal);
  EXPECT_EQ(refusal->code, ResultCode::kAppendUnknown);
  EXPECT_EQ(refusal->run_state, RunState::kMayHaveRun);
  EXPECT_EQ(Read(1).records.size(), 1U);
}

// Guards against a reader that continues after a gap in the records.
TEST_F(HttpLogClientTest, Read_BelowOldest_IsRefusedAsExpired) {
  Append({"a", "b", "c"});
  SetFaults(R"({"expire_below":3})");
  const auto refusal =
      RefusalOf([&] { return client_.Read("control", LogOffset(2), 100, kNoWait); });
  ASSERT_TRUE(refusal);
  EXPECT_EQ(refusal->code, ResultCode::kRecordsExpired);
  EXPECT_EQ(Read(3).oldest, LogOffset(3));
}

// Guards against an outage of the log that is reported as an unknown append.
TEST_F(HttpLogClientTest, Append_WhenLogRefuses_DidNotRun) {
  SetFaults(R"({"refuse":true})");
  const auto refusal = RefusalOf([&] { return client_.Append("control", {"a"}); });
  ASSERT_TRUE(refusal);
  EXPECT_EQ(refusal->code, ResultCode::kLogUnavailable);
  SetFaults(R"({"refuse":false})");
  EXPECT_TRUE(Read(1).records.empty());
}

// Guards against a client that keeps using a connection on which no answers arrive.
TEST_F(HttpLogClientTest, Read_AfterConnectionHangs_SucceedsOnNewConnection) {
  Append({"a"});
  SetFaults(R"({"silent":true})");
  EXPECT_TRUE(RefusalOf([&] { return client_.Read("control", LogOffset(1), 100, kNoWait); }));
  EXPECT_EQ(Read(1).records.size(), 1U);
}

// Guards against a misspelt fault in a test that is ignored and so never injected.
TEST_F(HttpLogClientTest, SetFaults_WithUnknownKey_IsRefused) {
  const net::ClientResult result =
      caller_.Call(address_, {"POST", "/v1/faults", {}, R"({"refused":true})"});
  ASSERT_TRUE(result.response);
  EXPECT_EQ(result.response->status, 400);
}

}  // namespace
}  // namespace clementineloom::platform
