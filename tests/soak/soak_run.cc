#include "soak/soak_run.h"

#include <chrono>
#include <utility>

#include "soak/job_reader.h"
#include "soak/soak_clock.h"
#include "soak/soak_source.h"

namespace clementineloom::soak {
namespace {

constexpr std::uint64_t kSeedsPerRun = 100;
constexpr std::chrono::milliseconds kReadyTimeout{20'000};
constexpr std::chrono::milliseconds kLastAnswers{10'000};

}  // namespace

Result<std::unique_ptr<SoakRun>> SoakRun::Start(const SoakOptions& options,
                                                const std::string& folder) {
  std::unique_ptr<SoakRun> run(new SoakRun(options));
  BOOST_LEAF_CHECK(run->Open(folder));
  return run;
}

Result<void> SoakRun::Open(const std::string& folder) {
  BOOST_LEAF_ASSIGN(platform_, SoakPlatform::Start(options_, ports_));
  BOOST_LEAF_AUTO(proxy, LoopbackProxy::Start());
  links_ = std::make_unique<SoakLinks>(std::move(proxy), ports_);
  for (std::size_t n = 0; n < platform_->worker_count(); ++n) {
    BOOST_LEAF_AUTO(address, links_->Add({LinkKind::kWorker, n}, platform_->worker_address(n)));
    platform_->Register(n, address);
  }
  BOOST_LEAF_AUTO(instances, SoakInstances::Make(options_, platform_->store_address(), folder,
                                                 ports_, *links_));
  instances_ = std::make_unique<SoakInstances>(std::move(instances));
  platform_->PublishInstancesAs(links_->peer_addresses());
  faults_ = std::make_unique<FaultRunner>(*platform_, *links_, *instances_, requests_);
  BOOST_LEAF_CHECK(instances_->StartAll());
  return instances_->WaitReady(kReadyTimeout);
}

Result<std::vector<std::unique_ptr<KeepAliveCaller>>> SoakRun::StartCallers() {
  std::vector<std::unique_ptr<KeepAliveCaller>> callers;
  for (const SoakSource& it : SourcesOf(options_.jobs)) {
    CallerOptions options;
    options.fronts = instances_->Fronts();
    options.host = SoakPlatform::kHost;
    options.api_key = SoakPlatform::kKey;
    options.path_prefix = it.queue.path;
    options.seed = options_.seed * kSeedsPerRun + callers.size();
    options.submissions_per_second = options_.rate * it.share;
    options.reads_per_second = 2 * options.submissions_per_second;
    BOOST_LEAF_AUTO(caller, KeepAliveCaller::Start(options, it.bodies, requests_));
    callers.push_back(std::move(caller));
  }
  return callers;
}

Result<SoakResult> SoakRun::Run() {
  BOOST_LEAF_AUTO(callers, StartCallers());
  faults_->Run(FaultPlan::Make(options_.seed, options_.length, options_.faults),
               std::chrono::milliseconds(options_.length).count());
  faults_->Settle();
  const std::int64_t settled_ms = NowMs();
  for (const auto& it : callers) {
    (void)it->Stop(kLastAnswers);
  }
  callers.clear();
  const std::int64_t traffic_end_ms = NowMs();
  faults_->Wait(std::chrono::milliseconds(options_.calm).count());
  const CalmWindow calm = CalmWindow::Of(settled_ms, traffic_end_ms, NowMs(), options_.still);
  std::vector<JobReading> readings = ReadAll();
  return SoakResult{requests_,
                    faults_->disturbances(),
                    platform_->workers(),
                    platform_->RunEvents(),
                    std::move(readings),
                    calm};
}

std::vector<JobReading> SoakRun::ReadAll() const {
  JobReader reader(instances_->Fronts());
  std::vector<JobReading> readings;
  for (const auto& [job, history] : requests_.Jobs()) {
    for (std::size_t n = 0; history.accepted && n < options_.instances; ++n) {
      readings.push_back(reader.Read(history.path, n));
    }
  }
  return readings;
}

}  // namespace clementineloom::soak
