#include "recovery/job_arrivals.h"

#include <cstdio>
#include <utility>

#include "codec/task_name.h"

namespace clementineloom::bench {
namespace {

using workload::Milliseconds;

constexpr std::int64_t kMinIntervalMs = 80;
constexpr std::int64_t kMaxIntervalMs = 120;
// Each interval differs from the mean by at most a quarter.
constexpr std::int64_t kJitterDivisor = 4;
constexpr Milliseconds kCallerTimeout{1'000};
constexpr Milliseconds kRetryPause{1'000};
constexpr int kOk = 200;

std::int64_t Draw(std::mt19937_64& random, std::int64_t least, std::int64_t greatest) {
  return least +
         static_cast<std::int64_t>(random() % static_cast<std::uint64_t>(greatest - least + 1));
}

std::string JobId(std::uint64_t number) {
  char buf[20];
  (void)std::snprintf(buf, sizeof buf, "%016llx", static_cast<unsigned long long>(number));
  return buf;
}

}  // namespace

JobArrivals::JobArrivals(standin::StandInCluster& cluster, std::size_t instances,
                         std::uint64_t seed)
    : cluster_(cluster),
      instances_(instances),
      random_(seed),
      interval_(Draw(random_, kMinIntervalMs, kMaxIntervalMs)) {}

void JobArrivals::OnTaskStart(const TaskStart& start) {
  if (const auto task = codec::ParseTaskName(start.task)) {
    started_.insert(task->step.job);
    waiting_.erase(task->step.job);
  }
}

void JobArrivals::ScheduleNext() {
  const std::int64_t jitter = interval_.count() / kJitterDivisor;
  const Milliseconds pause = interval_ + Milliseconds(Draw(random_, -jitter, jitter));
  cluster_.world.After(pause, [this] {
    Submit(JobId(++submitted_));
    ScheduleNext();
  });
}

void JobArrivals::Submit(const std::string& job) {
  const auto is_settled = std::make_shared<bool>(false);
  for (std::size_t n = 0; n < instances_; ++n) {
    if (Send(job, is_settled)) {
      cluster_.world.After(kCallerTimeout,
                           [this, job, is_settled] { Repeat(job, is_settled, Milliseconds(0)); });
      return;
    }
  }
  Repeat(job, is_settled, kRetryPause);
}

bool JobArrivals::Send(const std::string& job, const std::shared_ptr<bool>& is_settled) {
  const std::size_t instance = next_instance_++ % instances_;
  return cluster_.SendJob(instance, job, [this, job, is_settled](const net::HttpResponse& answer) {
    if (answer.status != kOk) {
      Repeat(job, is_settled, kRetryPause);
    } else if (!std::exchange(*is_settled, true)) {
      OnAccepted(job);
    }
  });
}

void JobArrivals::OnAccepted(const std::string& job) {
  if (!started_.contains(job)) {
    waiting_.insert(job);
  }
}

void JobArrivals::Repeat(const std::string& job, const std::shared_ptr<bool>& is_settled,
                         Milliseconds pause) {
  if (!std::exchange(*is_settled, true)) {
    cluster_.world.After(pause, [this, job] { Submit(job); });
  }
}

}  // namespace clementineloom::bench
