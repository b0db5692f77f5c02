#include "support/workload.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <iterator>
#include <random>
#include <span>

#include "support/checked.h"

namespace clementineloom::bench {
namespace {

using std::chrono::minutes;
using std::chrono::seconds;

// Share of the capacity that the drawn jobs need; below 1 so that every policy can drain its queue.
constexpr double kLoad = 0.8;
// Declared run times are too high or too low by up to this factor.
constexpr double kDeclaredError = 10.0;
constexpr double kUrgentShare = 0.05;
constexpr double kBurstShare = 0.3;
constexpr int kNeverFittingJobs = 4;
constexpr int kCancelWaves = 3;
constexpr std::size_t kCancelWaveJobs = 20;
constexpr int kWorkerLosses = 2;

// Properties of the jobs of one size class.
struct ClassProfile {
  SizeClass size_class;
  // Share of the accelerator time of the workload.
  double share;
  Duration median_run_time;
  std::size_t burst_jobs;
};

constexpr std::array<ClassProfile, kSizeClasses> kProfiles = {{
    {SizeClass::kSmall, 0.2, minutes(8), 40},
    {SizeClass::kMedium, 0.3, minutes(25), 12},
    {SizeClass::kLarge, 0.5, minutes(60), 4},
}};

class WorkloadDraw {
 public:
  WorkloadDraw(const Deployment& deployment, std::uint64_t seed, Duration length)
      : deployment_(deployment), random_(seed), length_(length) {}

  Workload Draw() {
    for (const ClassProfile& profile : kProfiles) {
      DrawClass(profile);
    }
    DrawNeverFitting();
    std::ranges::stable_sort(workload_.arrivals, {}, &Arrival::at);
    DrawCancelWaves();
    DrawOutages();
    return std::move(workload_);
  }

 private:
  // Used instead of std:: distributions, whose results differ between standard libraries.
  double Unit() { return static_cast<double>(random_() >> 11U) * 0x1.0p-53; }
  std::size_t Below(std::size_t n) {
    return static_cast<std::size_t>(Unit() * static_cast<double>(n));
  }
  Instant At(double share) {
    return Instant(
        Duration(static_cast<std::int64_t>(share * static_cast<double>(length_.count()))));
  }

  // Log-uniform between a third of the median and three times the median.
  Duration DrawRunTime(Duration median) {
    const double factor = std::pow(3.0, 2 * Unit() - 1);
    return Duration(static_cast<std::int64_t>(factor * static_cast<double>(median.count())));
  }

  // The first two teams are the large ones and submit three quarters of the jobs.
  const Team& DrawTeam() {
    const double draw = Unit();
    const std::size_t n = draw < 0.45 ? 0 : draw < 0.75 ? 1 : draw < 0.9 ? 2 : 3;
    return deployment_.teams[n];
  }

  GangShape DrawShape(SizeClass size_class) {
    const auto rack = deployment_.workers_per_rack;
    const auto half_rack = static_cast<std::uint16_t>(rack / 2);
    GangShape::Fields fields;
    switch (size_class) {
      case SizeClass::kSmall: {
        constexpr std::array<std::uint16_t, 3> kSizes = {1, 2, 4};
        fields.accelerators_per_worker = kSizes[Below(kSizes.size())];
        break;
      }
      case SizeClass::kMedium:
        fields.accelerators_per_worker = 8;
        fields.workers = static_cast<std::uint16_t>(1 + Below(2));
        break;
      case SizeClass::kLarge:
        fields.accelerators_per_worker = 8;
        fields.workers = Unit() < 0.5 ? half_rack : rack;
        break;
    }
    fields.adjacency = fields.workers == 1 ? Adjacency::kWorker : Adjacency::kRack;
    return Checked([&] { return GangShape::Create(fields); });
  }

  Arrival MakeArrival(const Team& team, SizeClass size_class, const GangShape& shape,
                      Duration run_time, Instant at) {
    const double error = std::pow(kDeclaredError, 2 * Unit() - 1);
    JobSpec::Fields fields{
        .team = team.name(),
        .job_class = std::string(SizeClassName(size_class)),
        .shape = shape,
        .priority = Unit() < kUrgentShare ? JobPriority::kUrgent : JobPriority::kNormal,
        .declared_run_time =
            Duration(static_cast<std::int64_t>(error * static_cast<double>(run_time.count()))),
        .command = ""};
    return {.key = "job-" + std::to_string(workload_.arrivals.size()),
            .spec = Checked([&] { return JobSpec::Create(fields); }),
            .at = at,
            .run_time = run_time,
            .size_class = size_class};
  }

  // Adds jobs until the class has its share; some of them arrive as a burst of one team.
  void DrawClass(const ClassProfile& profile) {
    const double capacity = 8.0 * static_cast<double>(deployment_.workers.size());
    double left = kLoad * profile.share * capacity * static_cast<double>(length_.count());
    while (left > 0) {
      const Team& team = DrawTeam();
      const Instant at = At(Unit());
      const bool is_burst = Unit() < kBurstShare / static_cast<double>(profile.burst_jobs);
      const std::size_t jobs = is_burst ? profile.burst_jobs : 1;
      for (std::size_t n = 0; n < jobs && left > 0; ++n) {
        const GangShape shape = DrawShape(profile.size_class);
        const Duration run_time = DrawRunTime(profile.median_run_time);
        workload_.arrivals.push_back(
            MakeArrival(team, profile.size_class, shape, run_time, at + Duration(n * 500)));
        left -=
            static_cast<double>(shape.total_accelerators()) * static_cast<double>(run_time.count());
      }
    }
  }

  // Gangs that need one worker more than any rack has.
  void DrawNeverFitting() {
    const auto workers = static_cast<std::uint16_t>(deployment_.workers_per_rack + 1);
    const GangShape shape = Checked([&] {
      return GangShape::Create(
          {.accelerators_per_worker = 8, .workers = workers, .adjacency = Adjacency::kRack});
    });
    for (int n = 0; n < kNeverFittingJobs; ++n) {
      Arrival arrival = MakeArrival(DrawTeam(), SizeClass::kLarge, shape, minutes(30), At(Unit()));
      arrival.can_run = false;
      workload_.arrivals.push_back(std::move(arrival));
    }
  }

  // A wave cancels jobs that arrived shortly before it, whether they are running or waiting.
  void DrawCancelWaves() {
    const auto& arrivals = workload_.arrivals;
    for (int n = 0; n < kCancelWaves; ++n) {
      const std::size_t last = arrivals.size() / 4 + Below(arrivals.size() / 2);
      const std::size_t first = last > kCancelWaveJobs ? last - kCancelWaveJobs : 0;
      CancelWave wave{.at = arrivals[last].at + seconds(20), .keys = {}};
      for (std::size_t it = first; it < last; ++it) {
        wave.keys.push_back(arrivals[it].key);
      }
      workload_.cancel_waves.push_back(std::move(wave));
    }
  }

  void DrawOutages() {
    workload_.failing_worker = DrawWorker();
    for (int n = 0; n < kWorkerLosses; ++n) {
      const Instant at = At(0.1 + 0.8 * Unit());
      workload_.worker_losses.push_back(
          {.worker = DrawWorker(), .lost_at = at, .back_at = at + minutes(20)});
    }
    const auto& data_centres = deployment_.data_centres;
    workload_.changing_data_centre = data_centres[Below(data_centres.size())].name();
    const double out_at = 0.4 + 0.1 * Unit();
    workload_.out_of_service = {.from = At(out_at), .to = At(out_at + 0.2)};
  }

  std::string DrawWorker() { return deployment_.workers[Below(deployment_.workers.size())].name(); }

  const Deployment& deployment_;
  std::mt19937_64 random_;
  const Duration length_;
  Workload workload_;
};

}  // namespace

Workload MakeWorkload(const Deployment& deployment, std::uint64_t seed, Duration length) {
  return WorkloadDraw(deployment, seed, length).Draw();
}

}  // namespace clementineloom::bench
