#pragma once

#include <chrono>
#include <memory>
#include <string>
#include <utility>

#include "clementineloom/concurrency/bounded_ring.h"
#include "clementineloom/decision/decision_engine.h"
#include "platform/log_follower.h"
#include "scheduler/append_duty.h"
#include "scheduler/decision_duty.h"
#include "support/manual_clock.h"
#include "support/memory_log.h"

namespace clementineloom::scheduler {

/// @brief A scheduler without threads: follower, decision duty and append duty on a shared stream.
/// Thread safety: none.
template <Placer P>
class SchedulerReplica {
 public:
  SchedulerReplica(testing_support::MemoryLog& log, const std::string& instance)
      : follower_(log, {},
                  [this](platform::FollowedBatch it) {
                    decision_.Handle(std::move(it), Now());
                    return true;
                  }),
        append_(
            log, {},
            [this](ProposalDropped it) {
              decision_.Handle(std::move(it), Now());
              return true;
            },
            metrics_),
        decision_(OptionsOf(instance), DecisionEngine<P>(),
                  {appends_, driver_, admin_, peers_, drained_, metrics_}) {}

  static TimePair Now() { return {testing_support::ManualClock::now(), Instant(Duration(0))}; }

  void Read() { (void)follower_.Poll(testing_support::ManualClock::now()); }
  void Decide() { decision_.Tick(Now()); }

  void Append() {
    while (auto event = appends_.TryPop()) {
      append_.Handle(std::move(*event));
    }
    append_.Flush();
  }

  // One round of all duties.
  void Step() {
    Read();
    Decide();
    Append();
  }

  std::shared_ptr<ReplyRing> Ask(OperatorRequest request) {
    auto reply = std::make_shared<ReplyRing>(1);
    decision_.Handle(
        OperatorCall{std::move(request),
                     testing_support::ManualClock::now() + std::chrono::milliseconds(5'000), reply},
        Now());
    return reply;
  }

  void Handle(DecisionEvent event) { decision_.Handle(std::move(event), Now()); }

  [[nodiscard]] const ClusterState& state() const { return decision_.state(); }
  [[nodiscard]] const ViewFreshness& freshness() const { return decision_.freshness(); }
  [[nodiscard]] bool TakeDrained() { return drained_.TryPop().has_value(); }
  [[nodiscard]] BoundedRing<DriverEvent>& driver() { return driver_; }

 private:
  static DecisionOptions OptionsOf(const std::string& instance) {
    DecisionOptions options;
    options.instance = instance;
    options.process = instance + "-p";
    options.snapshot_interval = 50;
    return options;
  }

  metrics::MetricRegistry metrics_;
  BoundedRing<AppendEvent> appends_{4'096};
  BoundedRing<DriverEvent> driver_{4'096};
  BoundedRing<AdminEvent> admin_{4'096};
  BoundedRing<PeerEvent> peers_{4'096};
  BoundedRing<Drained> drained_{4};
  platform::LogFollower<testing_support::MemoryLog> follower_;
  AppendDuty<testing_support::MemoryLog, testing_support::ManualClock> append_;
  DecisionDuty<P> decision_;
};

}  // namespace clementineloom::scheduler
