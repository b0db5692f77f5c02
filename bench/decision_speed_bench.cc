#include <algorithm>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <string>
#include <utility>
#include <vector>

#include "clementineloom/decision/cell_placer.h"
#include "clementineloom/decision/default_decision_engine.h"
#include "clementineloom/state/cluster_state.h"

namespace clementineloom {
namespace {

using Microseconds = std::chrono::duration<double, std::micro>;

constexpr int kWorkersPerRack = 8;
constexpr std::uint16_t kAccelerators = 8;

template <class Operation>
auto ValueOrExit(Operation&& operation) {
  using Value = std::remove_cvref_t<decltype(operation().value())>;
  return CatchRefusal([&]() -> Result<Value> { return operation(); },
                      [](const Refusal& refusal) -> Value {
                        std::fprintf(stderr, "invalid value: %s\n", refusal.detail.c_str());
                        std::exit(EXIT_FAILURE);
                      });
}

GangShape Shape(std::uint16_t accelerators, std::uint16_t workers, Adjacency adjacency) {
  return ValueOrExit([&] { return GangShape::Create({accelerators, workers, adjacency}); });
}

GangShape Small() { return Shape(2, 1, Adjacency::kWorker); }

/// A cluster whose guarantees cover about half of its accelerators, with its state.
class Cluster {
 public:
  explicit Cluster(int workers) : data_centres_(std::clamp(workers / 1'900, 1, 17)) {
    AddWorkers(workers);
    AddTeams(workers);
  }

  ClusterState& state() { return state_; }

  ApplyOutcome Apply(RecordBody body) {
    const LogOffset next(state_.applied_offset().value() + 1);
    return state_.Apply(next, Record{std::to_string(next.value()), std::move(body)});
  }

  JobId Submit(const std::string& team, const GangShape& shape) {
    const JobSpec spec = ValueOrExit([&] {
      return JobSpec::Create(
          {team, "class", shape, JobPriority::kNormal, std::chrono::hours(1), "run"});
    });
    const std::string key = std::to_string(state_.applied_offset().value() + 1);
    return Apply(JobSubmitted{key, spec, Instant()}).job();
  }

  /// Applies a configuration change that sets a team to its current value.
  void TouchTeam(int n) {
    const TeamId team(static_cast<std::uint32_t>(n % teams_));
    Edit(SetTeam{state_.team(team).team});
  }

  std::string TeamOf(int n) const { return "t" + std::to_string(n % teams_); }

 private:
  void AddWorkers(int workers) {
    for (int n = 0; n < data_centres_; ++n) {
      Edit(SetDataCentre{ValueOrExit([&] {
        return DataCentre::Create({DataCentreName(n), "region", true});
      })});
    }
    for (int n = 0; n < workers; ++n) {
      const int rack = n / kWorkersPerRack;
      Worker::Fields fields;
      fields.name = "w" + std::to_string(n);
      fields.address = "127.0.0.1:1";
      fields.data_centre = DataCentreName(rack % data_centres_);
      fields.rack = "r" + std::to_string(rack);
      fields.accelerators = kAccelerators;
      (void)Apply(WorkerRegistered{ValueOrExit([&] { return Worker::Create(fields); })});
    }
  }

  // Each team is guaranteed gangs within a rack and single workers; in large clusters the first
  // team is also guaranteed a gang of 512 workers.
  void AddTeams(int workers) {
    teams_ = std::clamp(workers / 75, 1, 430);
    const int share = std::max(workers / teams_ / 2, 2);
    const auto small = static_cast<std::uint16_t>(std::max(share / 2, 1));
    const auto gangs = static_cast<std::uint16_t>(std::max(share / 8, 1));
    for (int n = 0; n < teams_; ++n) {
      Team::Fields fields;
      fields.name = TeamOf(n);
      fields.guarantees = {Guarantee(Shape(kAccelerators, 1, Adjacency::kWorker), small),
                           Guarantee(Shape(kAccelerators, 4, Adjacency::kRack), gangs)};
      if (n == 0 && workers > 5'000) {
        fields.guarantees.emplace_back(Shape(kAccelerators, 512, Adjacency::kDataCentre), 1);
      }
      Edit(SetTeam{ValueOrExit([&] { return Team::Create(fields); })});
    }
  }

  static std::string DataCentreName(int n) { return "d" + std::to_string(n); }

  void Edit(ConfigEdit edit) {
    (void)Apply(ConfigChanged{state_.config_revision(), {std::move(edit)}, "bench"});
  }

  int data_centres_;
  int teams_ = 1;
  ClusterState state_;
};

/// Latency samples of one kind of call.
class Times {
 public:
  template <class Operation>
  auto Measure(Operation&& operation) {
    const auto start = std::chrono::steady_clock::now();
    auto result = operation();
    times_.push_back(Microseconds(std::chrono::steady_clock::now() - start).count());
    return result;
  }

  void Print(const char* name) {
    if (times_.empty()) {
      return;
    }
    std::sort(times_.begin(), times_.end());
    std::printf("  %-28s n=%-5zu p50=%9.1f us  p99=%9.1f us  max=%9.1f us\n", name, times_.size(),
                At(0.5), At(0.99), times_.back());
  }

 private:
  double At(double share) const {
    return times_[static_cast<std::size_t>(share * static_cast<double>(times_.size() - 1))];
  }

  std::vector<double> times_;
};

void PlaceMany(Cluster& cluster, CellPlacer& placer, const GangShape& shape, int count,
               const char* name) {
  Times times;
  std::vector<JobId> placed;
  for (int n = 0; n < count; ++n) {
    const JobId job = cluster.Submit(cluster.TeamOf(n), shape);
    auto placement = times.Measure([&] { return placer.Place(cluster.state(), job, Instant()); });
    if (placement) {
      (void)cluster.Apply(JobsPlaced{cluster.state().applied_offset(), {std::move(*placement)}});
      placed.push_back(job);
    } else {
      (void)cluster.Apply(JobsCancelled{{job}});
    }
  }
  times.Print(name);
  // Half of the jobs keep running, so that the next kind is placed on a cluster in use.
  for (std::size_t n = 0; n < placed.size(); n += 2) {
    (void)cluster.Apply(JobFinished{placed[n], 1, JobOutcome::kSucceeded, Duration(1)});
  }
  placer.BeginPass(cluster.state(), Instant());
}

// Repeatedly starts and ends the gang of the only team with a guarantee of this size.
void RepeatGuaranteedGang(Cluster& cluster, CellPlacer& placer) {
  const GangShape shape = Shape(kAccelerators, 512, Adjacency::kDataCentre);
  Times times;
  Times release;
  for (int n = 0; n < 40; ++n) {
    const JobId job = cluster.Submit(cluster.TeamOf(0), shape);
    auto placement = times.Measure([&] { return placer.Place(cluster.state(), job, Instant()); });
    if (!placement) {
      return;
    }
    (void)cluster.Apply(JobsPlaced{cluster.state().applied_offset(), {std::move(*placement)}});
    placer.BeginPass(cluster.state(), Instant());
    (void)cluster.Apply(JobFinished{job, 1, JobOutcome::kSucceeded, Duration(1)});
    (void)release.Measure([&] {
      placer.BeginPass(cluster.state(), Instant());
      return 0;
    });
  }
  times.Print("guaranteed gang of 512");
  release.Print("its end");
}

void ChangeConfiguration(Cluster& cluster, CellPlacer& placer) {
  Times times;
  for (int n = 0; n < 20; ++n) {
    cluster.TouchTeam(n);
    (void)times.Measure([&] {
      placer.BeginPass(cluster.state(), Instant());
      return 0;
    });
  }
  times.Print("change of configuration");
}

void Run(int workers) {
  std::printf("workers=%d\n", workers);
  Cluster cluster(workers);
  CellPlacer placer;
  Times build;
  (void)build.Measure([&] {
    placer.BeginPass(cluster.state(), Instant());
    return 0;
  });
  build.Print("first read of the state");
  std::printf("  shapes at risk: %zu\n", placer.packing().Risks(cluster.state()).size());
  PlaceMany(cluster, placer, Small(), std::min(workers, 4'000), "small placement");
  PlaceMany(cluster, placer, Shape(kAccelerators, 4, Adjacency::kRack), std::min(workers / 8, 500),
            "rack gang of 4");
  if (workers > 5'000) {
    RepeatGuaranteedGang(cluster, placer);
    PlaceMany(cluster, placer, Shape(kAccelerators, 512, Adjacency::kDataCentre), 40,
              "data centre gang of 512");
  }
  ChangeConfiguration(cluster, placer);
  DefaultDecisionEngine engine;
  (void)engine.Decide(cluster.state(), Instant());
  for (int n = 0; n < 1'000; ++n) {
    (void)cluster.Submit(cluster.TeamOf(n), Small());
  }
  Times decide;
  (void)decide.Measure([&] { return engine.Decide(cluster.state(), Instant()); });
  decide.Print("pass over 1,000 waiting jobs");
}

}  // namespace
}  // namespace clementineloom

/// Arguments are numbers of workers, one run each; without arguments runs one small cluster.
int main(int argc, char** argv) {
  std::vector<int> sizes;
  for (int n = 1; n < argc; ++n) {
    sizes.push_back(std::atoi(argv[n]));
  }
  if (sizes.empty()) {
    sizes.push_back(50);
  }
  for (const int it : sizes) {
    clementineloom::Run(it);
  }
  return EXIT_SUCCESS;
}
