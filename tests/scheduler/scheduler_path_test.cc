#include <gtest/gtest.h>

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include "codec/detail/model_json.h"
#include "fakes/fake_instances_server.h"
#include "fakes/fake_log_server.h"
#include "fakes/fake_worker_server.h"
#include "rpc/rpc_client.h"
#include "scheduler/scheduler.h"
#include "support/cluster_records.h"
#include "support/http_caller.h"
#include "support/value_or_die.h"

namespace clementineloom::scheduler {
namespace {

namespace json = boost::json;
using testing_support::ValueOrDie;

constexpr std::chrono::seconds kTimeout(20);

// A complete scheduler with all its threads, connected to fakes of the platform's services.
class SchedulerPathTest : public testing::Test {
 protected:
  SchedulerPathTest() {
    PublishInstances();
    scheduler_ = ValueOrDie([this] { return Scheduler::Start(Settings()); });
    client_ = std::make_unique<rpc::RpcClient>(Loopback(scheduler_->rpc_port()));
  }

  static std::string Loopback(std::uint16_t port) { return "127.0.0.1:" + std::to_string(port); }

  settings::SchedulerSettings Settings() const {
    settings::SchedulerSettings settings;
    settings.common.instance = "entry-a";
    settings.common.region = "region";
    settings.common.data_centre = "dc";
    settings.common.admin = "127.0.0.1:0";
    settings.common.log_service = {Loopback(log_->port())};
    settings.common.instance_list = Loopback(instances_->port());
    settings.common.instance_list_interval_ms = 20;
    settings.rpc = "127.0.0.1:0";
    settings.renew_interval_ms = 20;
    return settings;
  }

  void PublishInstances() {
    json::array instances;
    for (std::size_t n = 0; n < workers_.size(); ++n) {
      instances.push_back(json::object{{"name", "w" + std::to_string(n)},
                                       {"role", "worker"},
                                       {"state", "live"},
                                       {"address", Loopback(workers_[n]->port())},
                                       {"data_centre", "dc"},
                                       {"rack", "r0"},
                                       {"accelerators", 8},
                                       {"slots", 8},
                                       {"connections", 64}});
    }
    const json::object body{{"instances", std::move(instances)}};
    const auto result = caller_.Call(Loopback(instances_->port()),
                                     {"PUT", "/v1/instances", {}, json::serialize(body)});
    ASSERT_TRUE(result.response && result.response->status == 200);
  }

  json::value Call(const std::string& method, const json::object& params) {
    return ValueOrDie([&] { return client_->Call(method, params, kTimeout); });
  }

  // Polls until the scheduler has read the log to its tail; bounded by the test's time limit.
  void AwaitServing() {
    while (!Call("status.get", {}).at("serving").as_bool()) {
    }
  }

  void Configure() {
    const json::array edits{
        json::object{
            {"set_data_centre", codec::detail::ToJson(testing_support::MakeDataCentre(true))}},
        json::object{{"set_team", codec::detail::ToJson(testing_support::MakeTeam("team"))}}};
    (void)Call("config.confirm", {{"edits", edits}, {"base_revision", 0}, {"author", "test"}});
  }

  std::uint64_t Submit(const std::string& command) {
    const json::object spec = codec::detail::ToJson(testing_support::MakeSpec(2, command));
    return Call("job.submit", {{"key", command}, {"spec", spec}})
        .at("job")
        .to_number<std::uint64_t>();
  }

  void AwaitPhase(std::uint64_t job, std::string_view phase) {
    while (Call("job.get", {{"job", job}}).at("phase").as_string() != phase) {
    }
  }

  const std::unique_ptr<fakes::FakeLogServer> log_ =
      ValueOrDie([] { return fakes::FakeLogServer::Start(); });
  const std::unique_ptr<fakes::FakeInstancesServer> instances_ =
      ValueOrDie([] { return fakes::FakeInstancesServer::Start(); });
  const std::vector<std::shared_ptr<fakes::FakeWorkerServer>> workers_{
      ValueOrDie([] { return fakes::FakeWorkerServer::Start(0); }),
      ValueOrDie([] { return fakes::FakeWorkerServer::Start(0); })};
  testing_support::HttpCaller caller_;
  std::unique_ptr<Scheduler> scheduler_;
  std::unique_ptr<rpc::RpcClient> client_;
};

// Guards against a break in the path of a gang from its submission through log and workers to its
// end.
TEST_F(SchedulerPathTest, Submit_OfGang_RunsToCompletion) {
  AwaitServing();
  Configure();
  const std::uint64_t job = Submit("sleep_ms=1");
  AwaitPhase(job, "ended");
  EXPECT_EQ(Call("job.get", {{"job", job}}).at("outcome").as_string(), "succeeded");
  EXPECT_EQ(Call("job.get", {{"job", job}}).at("attempt").as_int64(), 1);
}

// Guards against a planned stop that hangs, or that stops running tasks.
TEST_F(SchedulerPathTest, Drain_WithRunningGang_EndsAndLeavesItRunning) {
  AwaitServing();
  Configure();
  AwaitPhase(Submit("sleep_ms=600000"), "running");
  EXPECT_TRUE(scheduler_->Drain(kTimeout));
  client_.reset();
  scheduler_.reset();
  for (const auto& it : workers_) {
    const auto result = caller_.Call(Loopback(it->port()), {"GET", "/v1/tasks", {}, {}});
    ASSERT_TRUE(result.response);
    EXPECT_NE(result.response->body.find("running"), std::string::npos) << result.response->body;
  }
}

// Guards against a load balancer that considers a draining scheduler healthy.
TEST_F(SchedulerPathTest, Health_AfterDrainBegins_ReportsDraining) {
  AwaitServing();
  ASSERT_TRUE(scheduler_->Drain(kTimeout));
  const std::string admin = Loopback(scheduler_->admin_port());
  std::string body;
  while (body.find("draining") == std::string::npos) {
    const auto result = caller_.Call(admin, {"GET", "/health", {}, {}});
    ASSERT_TRUE(result.response);
    body = result.response->body;
  }
  EXPECT_EQ(Call("status.get", {}).at("draining").as_bool(), true);
}

}  // namespace
}  // namespace clementineloom::scheduler
