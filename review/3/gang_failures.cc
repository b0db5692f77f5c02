// One run of a gang fails on a worker that fails all that it starts. The job must not be shown as
// failed: the gang has failed once, and maxAttempts is 3.
#include <memory>
#include <string>

#include "../standin/deployment.h"

using namespace review;

namespace {

constexpr const char* kJob = "5c0e7a21d94b36f8";
constexpr const char* kGang =
    R"({"spec":"work 800 gang 3","steps":[{"count":3,"cpu":15000,"memMb":31000,"gpus":2,)"
    R"("estimateMs":800,"gang":true,"requirements":"b"}]})";
constexpr std::size_t kWorkers = 36;
// 1 of 36 workers: a share of 0.028.
constexpr std::size_t kFailing = 1;

}  // namespace

int main(int argc, char** argv) {
  if (argc != 2) {
    return kCouldNotRun;
  }
  constexpr int kMaxAttempts = 3;
  auto deployment =
      std::make_unique<Deployment>(PgskLoom(), argv[1], kWorkers, kFailing, kMaxAttempts);
  Deployment& it = *deployment;
  if (!it.Begin()) {
    End(deployment, kCouldNotRun);
  }
  const auto set_failing = [&it](bool is_failing) {
    it.record.Line(is_failing ? "1 of 36 workers begins to fail all that it starts"
                              : "the worker is sound again");
    for (std::size_t n = kWorkers - kFailing; n < kWorkers; ++n) {
      it.workers[n]->SetFailing(is_failing);
    }
  };
  if (HasTrouble()) {
    set_failing(true);
  }
  if (it.Ask(0, http::verb::post, kJob, kGang).status != 200) {
    End(deployment, kCouldNotRun);
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(500));
  if (HasTrouble()) {
    set_failing(false);
  }
  int runs = 0;
  for (int n = 0; n < 20; ++n) {
    std::this_thread::sleep_for(std::chrono::seconds(1));
    const Answer state = it.Ask(0, http::verb::get, kJob);
    constexpr int kMembers = 3;
    runs = it.workers[kWorkers - 1]->starts() / kMembers;
    if (state.body.find("failed") != std::string::npos) {
      it.record.Line("the job is shown as failed after " + std::to_string(runs) +
                     " run(s) of its gang, with maxAttempts 3");
      End(deployment, runs < kMaxAttempts ? kBroken : kHeld);
    }
    if (state.body.find("completed") != std::string::npos) {
      End(deployment, kHeld);
    }
  }
  End(deployment, kCouldNotRun);
}
