#include "recovery/troubles.h"

#include <memory>
#include <string>
#include <utility>

namespace clementineloom::bench {
namespace {

using standin::SimWorld;
using standin::StandInCluster;
using standin::StandInStore;
using standin::StandInWorker;
using workload::Milliseconds;

using Steps = std::vector<TimedStep>;

constexpr Milliseconds kBeginning{0};
constexpr Milliseconds kKilledFor{5'000};
constexpr Milliseconds kFrozenFor{4'000};
constexpr Milliseconds kCutFor{6'000};
constexpr Milliseconds kAllKilledFor{1'000};
constexpr Milliseconds kAllDarkFor{2'000};
constexpr Milliseconds kStoreAwayFor{9'000};
// From the signal of a planned stop to the end of the process.
constexpr Milliseconds kStopTime{500};
constexpr Milliseconds kRollingInterval{1'000};

// Targets.
constexpr std::int64_t kMaxClaimMs = 2'000;
constexpr std::int64_t kMaxFirstStartMs = 3'000;
constexpr std::int64_t kMaxFirstStartAfterDarkMs = 12'000;
constexpr std::int64_t kMaxStartGapMs = 500;

Steps KillOwner(std::size_t owner) {
  return {{kBeginning, [owner](StandInCluster& it) { it.Kill(owner); }},
          {kKilledFor, [owner](StandInCluster& it) { it.Restart(owner); }}};
}

Steps FreezeOwner(std::size_t owner) {
  return {{kBeginning, [owner](StandInCluster& it) { it.port(owner).Freeze(); }},
          {kFrozenFor, [owner](StandInCluster& it) { it.port(owner).Thaw(); }}};
}

Steps CutOwnerFromStore(std::size_t owner) {
  return {{kBeginning, [owner](StandInCluster& it) { it.port(owner).Cut(StandInStore::kAddress); }},
          {kCutFor, [owner](StandInCluster& it) { it.port(owner).Heal(StandInStore::kAddress); }}};
}

Steps CutOwnerFromWorkers(std::size_t owner) {
  return {{kBeginning,
           [owner](StandInCluster& it) {
             for (const auto& worker : it.workers) {
               it.port(owner).Cut(worker->address());
             }
           }},
          {kCutFor, [owner](StandInCluster& it) {
             for (const auto& worker : it.workers) {
               it.port(owner).Heal(worker->address());
             }
           }}};
}

void KillInstances(StandInCluster& cluster) {
  for (std::size_t n = 0; n < kRecoveryInstances; ++n) {
    cluster.Kill(n);
  }
}

void RestartInstances(StandInCluster& cluster) {
  for (std::size_t n = 0; n < kRecoveryInstances; ++n) {
    cluster.Restart(n);
  }
}

Steps KillAllInstances(std::size_t /*owner*/) {
  return {{kBeginning, KillInstances}, {kAllKilledFor, RestartInstances}};
}

// The workers' servers are kept while they do not serve.
Steps DarkenAll(std::size_t /*owner*/) {
  const auto servers = std::make_shared<std::vector<SimWorld::Server>>();
  return {{kBeginning,
           [servers](StandInCluster& it) {
             KillInstances(it);
             for (const auto& worker : it.workers) {
               servers->push_back(*it.world.Find(worker->address()));
               it.world.StopServing(worker->address());
               worker->Restart();
             }
           }},
          {kAllDarkFor, [servers](StandInCluster& it) {
             for (std::size_t n = 0; n < it.workers.size(); ++n) {
               StandInWorker& worker = *it.workers[n];
               worker.Restart();
               it.world.Serve(worker.address(), servers->at(n));
               it.Register(worker);
             }
             RestartInstances(it);
           }}};
}

Steps TakeStoreAway(std::size_t /*owner*/) {
  return {{kBeginning, [](StandInCluster& it) { it.store.Refuse(true); }},
          {kStoreAwayFor, [](StandInCluster& it) { it.store.Refuse(false); }}};
}

Steps StopOwner(std::size_t owner) {
  return {{kBeginning, [owner](StandInCluster& it) { it.Stop(owner); }},
          {kStopTime, [owner](StandInCluster& it) { it.Kill(owner); }},
          {kKilledFor, [owner](StandInCluster& it) { it.Restart(owner); }}};
}

// The owner is the first to be restarted.
Steps RestartOneByOne(std::size_t owner) {
  Steps steps;
  for (std::size_t n = 0; n < kRecoveryInstances; ++n) {
    const std::size_t instance = (owner + n) % kRecoveryInstances;
    const Milliseconds at = kRollingInterval * n;
    steps.push_back({at, [instance](StandInCluster& it) { it.Stop(instance); }});
    steps.push_back({at + kStopTime, [instance](StandInCluster& it) {
                       it.Kill(instance);
                       it.Restart(instance);
                     }});
  }
  return steps;
}

}  // namespace

std::vector<NamedTrouble> AllTroubles() {
  const RecoveryBounds keeps_runs{.keeps_runs = true};
  const RecoveryBounds frozen{.claim_ms = kMaxClaimMs, .keeps_runs = true};
  const RecoveryBounds killed{
      .claim_ms = kMaxClaimMs, .first_start_ms = kMaxFirstStartMs, .keeps_runs = true};
  const RecoveryBounds dark{.first_start_ms = kMaxFirstStartAfterDarkMs};
  const RecoveryBounds planned{.start_gap_ms = kMaxStartGapMs, .keeps_runs = true};
  return {{"owner_killed", false, true, killed, KillOwner},
          {"owner_frozen", false, true, frozen, FreezeOwner},
          {"owner_cut_from_store", false, true, keeps_runs, CutOwnerFromStore},
          {"owner_cut_from_workers", false, false, keeps_runs, CutOwnerFromWorkers},
          {"all_instances_killed", true, true, killed, KillAllInstances},
          {"all_dark", true, true, dark, DarkenAll},
          {"store_away", true, false, {}, TakeStoreAway},
          {"owner_stopped", false, true, planned, StopOwner},
          {"rolling_restart", false, true, planned, RestartOneByOne}};
}

}  // namespace clementineloom::bench
