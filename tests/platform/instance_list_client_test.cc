#include "platform/instance_list_client.h"

#include <gtest/gtest.h>

#include <boost/json/serialize.hpp>
#include <chrono>
#include <memory>
#include <string>

#include "fakes/fake_instances_server.h"
#include "platform/detail/instance_json.h"
#include "support/http_caller.h"
#include "support/value_or_die.h"

namespace clementineloom::platform {
namespace {

using std::chrono::milliseconds;
using testing_support::ValueOrDie;

class InstanceListClientTest : public testing::Test {
 protected:
  void Send(const std::string& method, const std::string& target, const std::string& body) {
    const net::ClientResult result = caller_.Call(address_, {method, target, {}, body});
    ASSERT_TRUE(result.response);
    ASSERT_EQ(result.response->status, 200);
  }

  void Put(const InstanceList& list) {
    Send("PUT", "/v1/instances", boost::json::serialize(detail::ToJson(list)));
  }

  InstanceList Fetch() {
    return ValueOrDie([&] { return client_.Fetch(); });
  }

  const Instance worker_{
      "w1", InstanceRole::kWorker, InstanceState::kLeaving, "127.0.0.1:1", "", "dc1", "rack1", 8, 8,
      64};
  const Instance entry_{"e1",
                        InstanceRole::kEntry,
                        InstanceState::kLive,
                        "127.0.0.1:2",
                        "127.0.0.1:3",
                        "dc1",
                        "",
                        0,
                        0,
                        0};
  std::unique_ptr<fakes::FakeInstancesServer> instances_ =
      ValueOrDie([] { return fakes::FakeInstancesServer::Start(); });
  std::string address_ = "127.0.0.1:" + std::to_string(instances_->port());
  testing_support::HttpCaller caller_;
  InstanceListClient client_{"list-client", address_, milliseconds(1'000)};
};

// Guards against a field of an instance that is lost or mixed up in transfer.
TEST_F(InstanceListClientTest, Fetch_AfterPut_ReturnsListWithNextVersion) {
  Put({0, {worker_, entry_}});
  EXPECT_EQ(Fetch(), (InstanceList{1, {worker_, entry_}}));
  Put({0, {entry_}});
  EXPECT_EQ(Fetch(), (InstanceList{2, {entry_}}));
}

// Guards against a fake whose lag has no effect, so that tests of lagging lists would prove
// nothing.
TEST_F(InstanceListClientTest, Fetch_WithinLag_ReturnsOlderList) {
  Put({0, {worker_}});
  ASSERT_EQ(Fetch().version, 1U);
  Send("POST", "/v1/faults", R"({"lag_ms":3600000})");
  Put({0, {}});
  EXPECT_EQ(Fetch(), (InstanceList{1, {worker_}}));
}

// Guards against an outage of the list that is taken for an empty list.
TEST_F(InstanceListClientTest, Fetch_WhenListRefuses_IsUnavailable) {
  Send("POST", "/v1/faults", R"({"refuse":true})");
  const auto refusal = RefusalOf([&] { return client_.Fetch(); });
  ASSERT_TRUE(refusal);
  EXPECT_EQ(refusal->code, ResultCode::kInstanceListUnavailable);
}

}  // namespace
}  // namespace clementineloom::platform
