#pragma once

#include <string>
#include <utility>
#include <vector>

#include "clementineloom/state/record.h"
#include "support/value_or_die.h"

namespace clementineloom::testing_support {

// Record bodies of a small cluster: data centre "dc", team "team", workers "w0", "w1", ...

inline DataCentre MakeDataCentre(bool in_service) {
  return ValueOrDie([&] {
    return DataCentre::Create({.name = "dc", .region = "region", .in_service = in_service});
  });
}

inline Team MakeTeam(const std::string& name) {
  const GangShape shape =
      ValueOrDie([] { return GangShape::Create({.accelerators_per_worker = 8, .workers = 1}); });
  return ValueOrDie(
      [&] { return Team::Create({.name = name, .guarantees = {Guarantee(shape, 1)}}); });
}

inline JobSpec MakeSpec(std::uint16_t workers, const std::string& command = "run") {
  const GangShape shape = ValueOrDie([&] {
    return GangShape::Create(
        {.accelerators_per_worker = 8, .workers = workers, .adjacency = Adjacency::kDataCentre});
  });
  return ValueOrDie([&] {
    return JobSpec::Create({.team = "team",
                            .job_class = "class",
                            .shape = shape,
                            .priority = JobPriority::kNormal,
                            .declared_run_time = Duration(1'000),
                            .command = command});
  });
}

inline std::string WorkerAddress(int n) { return "10.0.0." + std::to_string(n + 1) + ":80"; }

inline Worker MakeWorker(int n) {
  return ValueOrDie([&] {
    return Worker::Create({.name = "w" + std::to_string(n),
                           .address = WorkerAddress(n),
                           .data_centre = "dc",
                           .rack = "r0"});
  });
}

/// @brief Configures the data centre and the team at revision 0 and registers workers.
inline std::vector<RecordBody> MakeCluster(int workers) {
  std::vector<RecordBody> bodies;
  bodies.emplace_back(ConfigChanged{
      ConfigRevision(0), {SetDataCentre{MakeDataCentre(true)}, SetTeam{MakeTeam("team")}}, "test"});
  for (int n = 0; n < workers; ++n) {
    bodies.emplace_back(WorkerRegistered{MakeWorker(n)});
  }
  return bodies;
}

inline RecordBody SetInService(ConfigRevision base, bool in_service) {
  return ConfigChanged{base, {SetDataCentre{MakeDataCentre(in_service)}}, "test"};
}

inline RecordBody Submit(const std::string& key, std::uint16_t workers) {
  return JobSubmitted{key, MakeSpec(workers), Instant(Duration(0))};
}

}  // namespace clementineloom::testing_support
