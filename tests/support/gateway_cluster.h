#pragma once

#include <gtest/gtest.h>

#include <boost/json/serialize.hpp>
#include <chrono>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "codec/record_codec.h"
#include "fakes/fake_instances_server.h"
#include "fakes/fake_log_server.h"
#include "fakes/fake_worker_server.h"
#include "gateway/gateway_daemon.h"
#include "platform/detail/instance_json.h"
#include "platform/http_log_client.h"
#include "support/http_caller.h"
#include "support/value_or_die.h"

namespace clementineloom::testing_support {

/// @brief Platform stand-ins with one worker and one team, and gateways in this process.
class GatewayCluster {
 public:
  static std::string Loopback(std::uint16_t port) { return "127.0.0.1:" + std::to_string(port); }

  GatewayCluster() {
    SetInService(true);
    Append(WorkerRegistered{ValueOrDie([&] {
      return Worker::Create({"w1", Loopback(worker_->port()), "dc1", "rack1", 8, 8, 64});
    })});
    ListWorker(platform::InstanceState::kLive);
  }

  /// @brief Starts a gateway and waits until it is healthy and routes to the worker.
  std::unique_ptr<gateway::GatewayDaemon> StartGateway(settings::GatewaySettings settings) {
    settings.listen = "127.0.0.1:0";
    settings.common.admin = "127.0.0.1:0";
    settings.common.region = "region1";
    settings.common.data_centre = "dc1";
    settings.common.log_service = {Loopback(log_->port())};
    settings.common.instance_list = Loopback(instances_->port());
    settings.common.instance_list_interval_ms = 20;
    auto daemon = ValueOrDie([&] { return gateway::GatewayDaemon::Start(settings); });
    const net::HttpRequest probe{"GET", "/serve/ready", {}, {}};
    EXPECT_TRUE(Eventually([&] {
      return HealthOf(*daemon).status == kOk && Call(*daemon, probe).status == kOk;
    })) << HealthOf(*daemon).body
        << Call(*daemon, probe).body << MetricsOf(*daemon);
    return daemon;
  }

  std::unique_ptr<gateway::GatewayDaemon> StartGateway(const std::string& instance) {
    settings::GatewaySettings settings;
    settings.common.instance = instance;
    // Long enough for slow machines; tests of stale views set their own value.
    settings.common.max_view_age_ms = 60'000;
    return StartGateway(settings);
  }

  net::HttpResponse Call(const gateway::GatewayDaemon& daemon, net::HttpRequest request) {
    return CallAddress(Loopback(daemon.port()), std::move(request));
  }

  net::HttpResponse HealthOf(const gateway::GatewayDaemon& daemon) {
    return CallAddress(Loopback(daemon.admin_port()), {"GET", "/health", {}, {}});
  }

  std::string MetricsOf(const gateway::GatewayDaemon& daemon) {
    return CallAddress(Loopback(daemon.admin_port()), {"GET", "/metrics", {}, {}}).body;
  }

  void SetInService(bool in_service) {
    ConfigEdit edit = SetDataCentre{ValueOrDie([&] {
      return DataCentre::Create({"dc1", "region1", in_service});
    })};
    Append(ConfigChanged{ConfigRevision(revision_++), {std::move(edit)}, "test"});
  }

  void Append(RecordBody body) {
    const std::string id = "test-" + std::to_string(++last_record_);
    AppendPayload("control", codec::EncodeRecord({id, std::move(body)}));
  }

  void AppendPayload(const std::string& stream, const std::string& payload) {
    EXPECT_FALSE(RefusalOf([&] { return log_client_.Append(stream, {payload}); }));
  }

  void ListWorker(platform::InstanceState state) {
    platform::Instance instance;
    instance.name = "w1";
    instance.state = state;
    instance.address = Loopback(worker_->port());
    instance.data_centre = "dc1";
    instance.rack = "rack1";
    instance.accelerators = 8;
    instance.slots = 8;
    instance.connections = 64;
    const std::string body =
        boost::json::serialize(platform::detail::ToJson(platform::InstanceList{0, {instance}}));
    (void)CallAddress(Loopback(instances_->port()), {"PUT", "/v1/instances", {}, body});
  }

  void SetLogFaults(const std::string& json) { SetFaults(log_->port(), json); }
  void SetWorkerFaults(const std::string& json) { SetFaults(worker_->port(), json); }

  /// @brief Number of times that the worker ran requests with this id.
  [[nodiscard]] std::uint64_t RunsOf(const std::string& request_id) const {
    const auto runs = worker_->ledger().runs();
    const auto it = runs.find(request_id);
    return it == runs.end() ? 0 : it->second;
  }

  /// @brief Repeats a check until it holds, for at most ten seconds. There is no pause between
  /// checks, because each one makes a blocking call.
  template <class Check>
  [[nodiscard]] static bool Eventually(Check check) {
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(10);
    while (std::chrono::steady_clock::now() < end) {
      if (check()) {
        return true;
      }
    }
    return false;
  }

 private:
  static constexpr int kOk = 200;

  net::HttpResponse CallAddress(const std::string& address, net::HttpRequest request) {
    net::ClientResult result = caller_.Call(address, std::move(request), std::chrono::seconds(30));
    return result.response ? std::move(*result.response) : net::HttpResponse{0, {}, {}};
  }

  void SetFaults(std::uint16_t port, const std::string& json) {
    EXPECT_EQ(CallAddress(Loopback(port), {"POST", "/v1/faults", {}, json}).status, kOk);
  }

  std::unique_ptr<fakes::FakeLogServer> log_ =
      ValueOrDie([] { return fakes::FakeLogServer::Start(); });
  std::unique_ptr<fakes::FakeInstancesServer> instances_ =
      ValueOrDie([] { return fakes::FakeInstancesServer::Start(); });
  std::unique_ptr<fakes::FakeWorkerServer> worker_ =
      ValueOrDie([] { return fakes::FakeWorkerServer::Start(0); });
  HttpCaller caller_;
  platform::HttpLogClient log_client_{"test-log", {Loopback(log_->port())}};
  std::uint64_t revision_ = 0;
  std::uint64_t last_record_ = 0;
};

}  // namespace clementineloom::testing_support
