// Embeds the decision engine in a program, without daemons, clocks or message encoding.
#include <chrono>
#include <cstdint>
#include <iostream>
#include <string>
#include <utility>
#include <variant>

#include "clementineloom/decision/default_decision_engine.h"
#include "clementineloom/errors/result.h"
#include "clementineloom/errors/result_code_table.h"
#include "clementineloom/state/cluster_state.h"

namespace {

using namespace std::chrono_literals;
namespace loom = clementineloom;

/// Applies records directly to the state; a real program would first append them to its log.
class Embedding {
 public:
  loom::ApplyOutcome Apply(loom::RecordBody body) {
    ++last_offset_;
    return state_.Apply(loom::LogOffset(last_offset_),
                        {"record-" + std::to_string(last_offset_), std::move(body)});
  }

  loom::Result<void> SetUp() {
    BOOST_LEAF_AUTO(data_centre, loom::DataCentre::Create({.name = "kolka", .region = "kurzeme"}));
    BOOST_LEAF_AUTO(shape, loom::GangShape::Create({.accelerators_per_worker = 8,
                                                    .workers = 2,
                                                    .adjacency = loom::Adjacency::kRack}));
    BOOST_LEAF_AUTO(team, loom::Team::Create({.name = "audit", .guarantees = {{shape, 1}}}));
    (void)Apply(loom::ConfigChanged{state_.config_revision(),
                                    {loom::SetDataCentre{data_centre}, loom::SetTeam{team}},
                                    "embed"});
    for (const char* name : {"worker-1", "worker-2"}) {
      BOOST_LEAF_AUTO(
          worker,
          loom::Worker::Create(
              {.name = name, .address = "127.0.0.1:8080", .data_centre = "kolka", .rack = "r1"}));
      (void)Apply(loom::WorkerRegistered{worker});
    }
    BOOST_LEAF_AUTO(spec, loom::JobSpec::Create({.team = "audit",
                                                 .job_class = "seasonal",
                                                 .shape = shape,
                                                 .priority = loom::JobPriority::kNormal,
                                                 .declared_run_time = 10min,
                                                 .command = "audit --season summer"}));
    (void)Apply(loom::JobSubmitted{"audit-2026", spec, loom::Instant()});
    return {};
  }

  void Decide() {
    for (const loom::RecordBody& body : engine_.Decide(state_, loom::Instant())) {
      if (const auto* placed = std::get_if<loom::JobsPlaced>(&body)) {
        Print(*placed);
      }
      (void)Apply(body);
    }
  }

 private:
  void Print(const loom::JobsPlaced& placed) const {
    for (const loom::Placement& placement : placed.placements) {
      std::cout << "job " << placement.job().value() << " runs on";
      for (const loom::Allocation& it : placement.allocations()) {
        std::cout << ' ' << state_.worker(it.worker()).name;
      }
      std::cout << '\n';
    }
  }

  loom::ClusterState state_;
  loom::DefaultDecisionEngine engine_;
  std::uint64_t last_offset_ = 0;
};

}  // namespace

int main() {
  Embedding embedding;
  const auto refusal = loom::RefusalOf([&] { return embedding.SetUp(); });
  if (refusal) {
    std::cerr << loom::ResultCodeName(refusal->code) << ": " << refusal->detail << '\n';
    return 1;
  }
  embedding.Decide();
  return 0;
}
