#include "soak/soak_platform.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <utility>
#include <variant>

#include "codec/workload_record_codec.h"
#include "soak/job_bodies.h"
#include "soak/soak_queue.h"

namespace clementineloom::soak {
namespace {

namespace json = boost::json;

constexpr const char* kJobsTopic = "keyed.loom";
constexpr const char* kWorkersTopic = "keyed.servers";

json::object Route(const SoakQueue& queue) {
  return {{"name", queue.name},
          {"host", SoakPlatform::kHost},
          {"pathPrefix", queue.path},
          {"service", SoakFleet::kService},
          {"priority", queue.priority},
          {"maxAttempts", JobBodies::kMaxAttempts},
          {"targetLatencyMs", queue.target_latency_ms},
          {"stretch", queue.stretch},
          {"public", false}};
}

std::string Config(std::uint64_t version) {
  json::array routes;
  for (const SoakQueue& it : kQueues) {
    routes.push_back(Route(it));
  }
  return json::serialize(json::object{
      {"version", version},
      {"routes", std::move(routes)},
      {"services",
       json::array{json::object{{"name", SoakFleet::kService}, {"enforcesCapacity", true}}}},
      {"tenants",
       json::array{json::object{{"name", "t"}, {"apiKeys", json::array{SoakPlatform::kKey}}}}}});
}

}  // namespace

Result<std::unique_ptr<SoakPlatform>> SoakPlatform::Start(const SoakOptions& options,
                                                          PortRange& ports) {
  std::unique_ptr<SoakPlatform> platform(new SoakPlatform(options));
  BOOST_LEAF_CHECK(platform->Open(ports));
  return platform;
}

Result<void> SoakPlatform::Open(PortRange& ports) {
  world_.Run([this](standin::SimWorld& world) {
    store_ = std::make_unique<standin::StandInStore>(world);
    gangs_ = std::make_unique<standin::StandInGangs>(world, kGangTimeout);
  });
  BOOST_LEAF_ASSIGN(store_address_, ports.Reserve());
  BOOST_LEAF_CHECK(world_.Serve(store_address_, standin::StandInStore::kAddress));
  for (const workload::WorkerInfo& info : fleet_.workers()) {
    BOOST_LEAF_AUTO(address, ports.Reserve());
    world_.Run([&](standin::SimWorld& world) {
      auto worker = std::make_unique<standin::StandInWorker>(world, info.id, address,
                                                             workload::Milliseconds(1'000));
      worker->SetProfiles(JobBodies::ProfileOf);
      worker->JoinGangs(*gangs_);
      worker->SetCapacity(info.capacity, true);
      worker->SetLabels(info.labels);
      worker->Observe([this](const standin::RunEvent& event) { history_.Add(event); });
      workers_.push_back(std::move(worker));
    });
    BOOST_LEAF_CHECK(world_.Serve(address, address));
  }
  PublishConfig();
  return {};
}

void SoakPlatform::Register(std::size_t worker, const std::string& address) {
  WithWorker(worker, [&](standin::StandInWorker& it) {
    it.SetAdvertisedAddress(address);
    store_->Put(kWorkersTopic, it.id(), it.Entry());
  });
}

void SoakPlatform::Unregister(std::size_t worker) {
  WithWorker(worker,
             [this](standin::StandInWorker& it) { store_->Put(kWorkersTopic, it.id(), ""); });
}

void SoakPlatform::PublishInstancesAs(std::map<std::string, std::string> addresses) {
  WithStore([&](standin::StandInStore& store) {
    store.RewriteRecords([addresses = std::move(addresses)](const workload::KeyedValue& item) {
      const auto record = codec::DecodeWorkloadRecord(item);
      const auto* set = record ? std::get_if<workload::InstanceSet>(&*record) : nullptr;
      if (set == nullptr || !addresses.contains(set->instance.address)) {
        return item;
      }
      workload::InstanceSet proxied = *set;
      proxied.instance.address = addresses.at(set->instance.address);
      return codec::EncodeWorkloadRecord(proxied);
    });
  });
}

void SoakPlatform::PublishConfig() {
  ++config_version_;
  WithStore([this](standin::StandInStore& store) {
    store.Put("keyed.op", "config", Config(config_version_));
  });
}

void SoakPlatform::WithStore(const std::function<void(standin::StandInStore&)>& action) {
  world_.Run([&](standin::SimWorld&) { action(*store_); });
}

void SoakPlatform::WithWorker(std::size_t worker,
                              const std::function<void(standin::StandInWorker&)>& action) {
  world_.Run([&](standin::SimWorld&) { action(*workers_.at(worker)); });
}

void SoakPlatform::CrashWorker(std::size_t worker) {
  WithWorker(worker, [this](standin::StandInWorker& it) {
    world_.Close(it.address());
    it.Crash();
  });
}

void SoakPlatform::RestartWorker(std::size_t worker) {
  WithWorker(worker, [this](standin::StandInWorker& it) {
    it.Restart();
    // The address stays reserved, so that it can be bound again.
    (void)RefusalOf([&] { return world_.Open(it.address()); });
    store_->Put(kWorkersTopic, it.id(), it.Entry());
  });
}

std::optional<std::string> SoakPlatform::Owner() {
  std::optional<std::string> owner;
  WithStore([&owner](standin::StandInStore& store) {
    const auto& records = store.Records(kJobsTopic);
    for (auto it = records.rbegin(); it != records.rend() && !owner; ++it) {
      if (it->key == "owner") {
        const auto record = codec::DecodeWorkloadRecord(*it);
        const auto* recorded = record ? std::get_if<workload::OwnerSet>(&*record) : nullptr;
        owner = recorded == nullptr ? std::nullopt : std::optional(recorded->owner.instance);
      }
    }
  });
  return owner;
}

}  // namespace clementineloom::soak
