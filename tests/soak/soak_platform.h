#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "clementineloom/errors/result.h"
#include "soak/port_range.h"
#include "soak/realtime_world.h"
#include "soak/run_history.h"
#include "soak/soak_fleet.h"
#include "soak/soak_options.h"
#include "standin/standin_gangs.h"
#include "standin/standin_store.h"
#include "standin/standin_worker.h"

namespace clementineloom::soak {

/// @brief The store and the workers of a soak, served on loopback addresses.
///
/// Thread safety: none; the stand-ins run on a thread of their own, which the members wait for.
class SoakPlatform {
 public:
  static constexpr const char* kHost = "soak.example";
  static constexpr const char* kKey = "soak-key";

  /// @param ports must outlive the platform
  /// Errors: those of PortRange and RealtimeWorld::Serve.
  [[nodiscard]] static Result<std::unique_ptr<SoakPlatform>> Start(const SoakOptions& options,
                                                                   PortRange& ports);

  ~SoakPlatform() { world_.Stop(); }
  SoakPlatform(const SoakPlatform&) = delete;
  SoakPlatform& operator=(const SoakPlatform&) = delete;

  /// @brief Where the store listens.
  [[nodiscard]] const std::string& store_address() const { return store_address_; }
  [[nodiscard]] std::size_t worker_count() const { return workers_.size(); }
  /// @brief The workers as they register, but for their addresses.
  [[nodiscard]] const std::vector<workload::WorkerInfo>& workers() const {
    return fleet_.workers();
  }
  /// @brief Where a worker listens.
  [[nodiscard]] const std::string& worker_address(std::size_t worker) const {
    return workers_.at(worker)->address();
  }

  /// @brief Registers a worker under the address of a proxy that stands before it.
  void Register(std::size_t worker, const std::string& address);
  /// @brief Hands out other addresses than those that the instances publish.
  /// @param addresses by published address
  void PublishInstancesAs(std::map<std::string, std::string> addresses);
  /// @brief Publishes the configuration under a new version.
  void PublishConfig();

  /// @brief Does something to the store, or to a worker.
  void WithStore(const std::function<void(standin::StandInStore&)>& action);
  void WithWorker(std::size_t worker, const std::function<void(standin::StandInWorker&)>& action);
  /// @brief Ends a worker without warning, and starts it again as a new incarnation. Its entry
  /// stays.
  void CrashWorker(std::size_t worker);
  void RestartWorker(std::size_t worker);
  /// @brief Removes the entry of a worker that has been silent.
  void Unregister(std::size_t worker);

  /// @brief Name of the instance that owns the workers, as last recorded.
  [[nodiscard]] std::optional<std::string> Owner();
  [[nodiscard]] std::vector<standin::RunEvent> RunEvents() const { return history_.Events(); }

 private:
  explicit SoakPlatform(const SoakOptions& options)
      : fleet_(SoakFleet::Make(options.jobs, options.workers, options.accelerators_per_worker)) {}

  Result<void> Open(PortRange& ports);

  static constexpr workload::Milliseconds kGangTimeout{3'000};

  const SoakFleet fleet_;
  RunHistory history_;
  std::string store_address_;
  std::uint64_t config_version_ = 0;
  RealtimeWorld world_;
  std::unique_ptr<standin::StandInStore> store_;
  std::unique_ptr<standin::StandInGangs> gangs_;
  std::vector<std::unique_ptr<standin::StandInWorker>> workers_;
};

}  // namespace clementineloom::soak
