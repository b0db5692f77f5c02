#include <unistd.h>

#include <chrono>
#include <cstdint>
#include <cstdio>
#include <fstream>
#include <string>
#include <utility>
#include <vector>

#include "clementineloom/errors/result.h"
#include "clementineloom/state/cluster_state.h"

namespace clementineloom {
namespace {

constexpr std::uint32_t kWorkersPerRack = 8;
constexpr std::uint32_t kTasksPerJob = 8;
constexpr std::uint16_t kAcceleratorsPerTask = 2;

/// Size of the state to build.
struct StateSize {
  std::uint32_t workers;
  std::uint32_t teams;
  std::uint32_t tasks;
};

std::size_t ResidentBytes() {
  std::size_t total = 0;
  std::size_t resident = 0;
  std::ifstream("/proc/self/statm") >> total >> resident;
  return resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

/// Builds a state by applying records, as a replica does.
class StateBuilder {
 public:
  Result<void> Build(const StateSize& size) {
    BOOST_LEAF_CHECK(AddTeams(size.teams));
    BOOST_LEAF_CHECK(AddWorkers(size.workers));
    return AddJobs(size);
  }

  [[nodiscard]] const ClusterState& state() const { return state_; }

 private:
  void Apply(RecordBody body) {
    const LogOffset next(state_.applied_offset().value() + 1);
    (void)state_.Apply(next, {"instance-1:" + std::to_string(next.value()), std::move(body)});
  }

  Result<void> AddTeams(std::uint32_t teams) {
    BOOST_LEAF_AUTO(data_centre,
                    DataCentre::Create({.name = "data-centre-1", .region = "region-1"}));
    std::vector<ConfigEdit> edits{SetDataCentre{data_centre}};
    BOOST_LEAF_AUTO(
        shape, GangShape::Create(
                   {.accelerators_per_worker = 8, .workers = 4, .adjacency = Adjacency::kRack}));
    for (std::uint32_t n = 0; n < teams; ++n) {
      BOOST_LEAF_AUTO(
          team, Team::Create({.name = "team-" + std::to_string(n), .guarantees = {{shape, 4}}}));
      edits.emplace_back(SetTeam{team});
    }
    Apply(ConfigChanged{state_.config_revision(), std::move(edits), "operator"});
    return {};
  }

  Result<void> AddWorkers(std::uint32_t workers) {
    for (std::uint32_t n = 0; n < workers; ++n) {
      BOOST_LEAF_AUTO(worker, Worker::Create({.name = "worker-" + std::to_string(n),
                                              .address = "10.100.200.30:8080",
                                              .data_centre = "data-centre-1",
                                              .rack = "r" + std::to_string(n / kWorkersPerRack)}));
      Apply(WorkerRegistered{worker});
    }
    return {};
  }

  Result<void> AddJobs(const StateSize& size) {
    BOOST_LEAF_AUTO(shape, GangShape::Create({.accelerators_per_worker = kAcceleratorsPerTask,
                                              .workers = kTasksPerJob,
                                              .adjacency = Adjacency::kRack}));
    const std::uint32_t racks = size.workers / kWorkersPerRack;
    for (std::uint32_t n = 0; n < size.tasks / kTasksPerJob; ++n) {
      BOOST_LEAF_AUTO(spec, JobSpec::Create({.team = "team-" + std::to_string(n % size.teams),
                                             .job_class = "training",
                                             .shape = shape,
                                             .priority = JobPriority::kNormal,
                                             .declared_run_time = std::chrono::hours(4),
                                             .command = "train --config model-7.json"}));
      Apply(JobSubmitted{"job-key-" + std::to_string(n), spec, Instant()});
      Apply(JobsPlaced{state_.applied_offset(), {Place(n % racks)}});
    }
    return {};
  }

  [[nodiscard]] Placement Place(std::uint32_t rack) const {
    std::vector<Allocation> gang;
    for (std::uint32_t n = 0; n < kTasksPerJob; ++n) {
      gang.emplace_back(WorkerId(rack * kWorkersPerRack + n), kAcceleratorsPerTask);
    }
    return Placement({.job = JobId(state_.applied_offset().value()),
                      .attempt = 1,
                      .kind = CapacityKind::kBorrowed,
                      .guarantee_index = 0,
                      .guarantee_instance = 0,
                      .allocations = std::move(gang)});
  }

  ClusterState state_;
};

void Report(const StateSize& size) {
  const std::size_t before = ResidentBytes();
  StateBuilder builder;
  const auto refusal = RefusalOf([&] { return builder.Build(size); });
  const std::size_t after = ResidentBytes();
  std::printf("workers=%u teams=%u tasks=%u active_jobs=%zu resident_growth_bytes=%zu%s\n",
              size.workers, size.teams, size.tasks, builder.state().active_jobs().size(),
              after - before, refusal ? " incomplete" : "");
}

}  // namespace
}  // namespace clementineloom

// Prints the growth of resident memory for one state size: WORKERS TEAMS TASKS. Each process
// measures one size only, because freed memory stays resident.
int main(int argc, char** argv) {
  if (argc != 4) {
    std::fprintf(stderr, "usage: %s WORKERS TEAMS TASKS\n", argv[0]);
    return 2;
  }
  const auto number = [&](int n) { return static_cast<std::uint32_t>(std::stoul(argv[n])); };
  clementineloom::Report({number(1), number(2), number(3)});
  return 0;
}
