#include "support/deployment.h"

#include "support/checked.h"

namespace clementineloom::bench {
namespace {

constexpr std::uint16_t kAccelerators = 8;
constexpr int kRacksPerDataCentre = 2;

Guarantee MakeGuarantee(std::uint16_t workers, std::uint16_t accelerators, std::uint16_t count) {
  const Adjacency adjacency = workers == 1 ? Adjacency::kWorker : Adjacency::kRack;
  const GangShape shape = Checked([&] {
    return GangShape::Create(
        {.accelerators_per_worker = accelerators, .workers = workers, .adjacency = adjacency});
  });
  return {shape, count};
}

Team MakeTeam(std::string name, std::vector<Guarantee> guarantees) {
  Team::Fields fields;
  fields.name = std::move(name);
  fields.guarantees = std::move(guarantees);
  return Checked([&] { return Team::Create(fields); });
}

Worker MakeWorker(const std::string& data_centre, int rack, int number) {
  const std::string rack_name = "r" + std::to_string(rack);
  Worker::Fields fields;
  fields.name = data_centre + "-" + rack_name + "-w" + std::to_string(number);
  fields.address = "127.0.0.1:1";
  fields.data_centre = data_centre;
  fields.rack = rack_name;
  fields.accelerators = kAccelerators;
  return Checked([&] { return Worker::Create(fields); });
}

void AddDataCentre(Deployment& deployment, const std::string& name) {
  deployment.data_centres.push_back(Checked(
      [&] { return DataCentre::Create({.name = name, .region = "home", .in_service = true}); }));
  for (int rack = 0; rack < kRacksPerDataCentre; ++rack) {
    for (int n = 0; n < deployment.workers_per_rack; ++n) {
      deployment.workers.push_back(MakeWorker(name, rack, n));
    }
  }
}

}  // namespace

// In both deployments the guarantees of all teams fit together even without any one data centre,
// so that an unreclaimable guarantee is caused by the policy.

Deployment CooperativeDeployment() {
  Deployment deployment;
  deployment.name = "cooperative";
  deployment.workers_per_rack = 6;
  for (const char* name : {"liepaja", "ventspils", "pavilosta", "kolka"}) {
    AddDataCentre(deployment, name);
  }
  deployment.teams = {
      MakeTeam("inspection", {MakeGuarantee(6, 8, 2), MakeGuarantee(1, 8, 2)}),
      MakeTeam("photographs", {MakeGuarantee(6, 8, 1), MakeGuarantee(3, 8, 1)}),
      MakeTeam("audits", {MakeGuarantee(2, 8, 3)}),
      MakeTeam("readiness", {MakeGuarantee(1, 4, 6), MakeGuarantee(1, 2, 4)}),
  };
  return deployment;
}

Deployment TreuilSahelDeployment() {
  Deployment deployment;
  deployment.name = "treuil-sahel";
  deployment.workers_per_rack = 8;
  for (const char* name : {"dakar", "thies", "rufisque"}) {
    AddDataCentre(deployment, name);
  }
  deployment.teams = {
      MakeTeam("routing", {MakeGuarantee(8, 8, 1), MakeGuarantee(4, 8, 2)}),
      MakeTeam("forecast", {MakeGuarantee(4, 8, 1), MakeGuarantee(2, 8, 2)}),
      MakeTeam("booking", {MakeGuarantee(1, 8, 2)}),
      MakeTeam("tracking", {MakeGuarantee(1, 4, 4), MakeGuarantee(1, 2, 4)}),
  };
  return deployment;
}

}  // namespace clementineloom::bench
