// A gang of a job with two steps is done. One of its workers was cut off meanwhile, so that its
// answers were lost, and has restarted behind the cut. Its member must not start again.
#include <memory>
#include <string>
#include <thread>

#include "../standin/deployment.h"

using namespace review;

namespace {

constexpr const char* kJob = "91c3e07ad25b4f68";
constexpr const char* kSteps =
    R"({"spec":"work 1000 gang 3 then 15000","steps":[)"
    R"({"count":3,"cpu":52000,"memMb":140000,"gpus":8,"estimateMs":1000,"gang":true,)"
    R"("requirements":"b"},)"
    R"({"count":1,"cpu":52000,"memMb":140000,"gpus":8,"estimateMs":15000,"dependsOn":[0]}]})";
// One of the 24 workers is cut off: a share of 0.042 of at most 0.17, for 5 s of at most 5.5 s.
constexpr std::size_t kWorkers = 24;
constexpr std::size_t kMembers = 3;

}  // namespace

int main(int argc, char** argv) {
  if (argc != 2) {
    return kCouldNotRun;
  }
  constexpr int kMaxAttempts = 4;
  auto deployment =
      std::make_unique<Deployment>(PgskLoom(), argv[1], kWorkers, kMembers, kMaxAttempts);
  Deployment& it = *deployment;
  if (!it.Begin()) {
    End(deployment, kCouldNotRun);
  }
  Worker& cut = *it.workers.back();
  if (HasTrouble()) {
    cut.SetMute(true);
  }
  if (it.Ask(0, http::verb::post, kJob, kSteps).status != 200) {
    End(deployment, kCouldNotRun);
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(3'500));
  if (HasTrouble()) {
    cut.Crash(500, "b");
    std::this_thread::sleep_for(std::chrono::milliseconds(1'000));
    cut.SetMute(false);
  }
  std::this_thread::sleep_for(std::chrono::seconds(12));
  it.Ask(0, http::verb::get, kJob);
  const int starts = cut.starts();
  it.record.Line("starts of the member on the worker that was cut off: " + std::to_string(starts));
  End(deployment, starts > 1 ? kBroken : (starts == 1 ? kHeld : kCouldNotRun));
}
