#include "soak/fault_runner.h"

#include <chrono>
#include <cstdio>
#include <string>
#include <thread>

#include "soak/fault_kind_names.h"
#include "soak/soak_clock.h"

namespace clementineloom::soak {
namespace {

constexpr std::chrono::milliseconds kTick{5};
constexpr std::chrono::milliseconds kLinkDelay{150};
constexpr workload::Milliseconds kStoreDelay{150};
constexpr int kLostAnswers = 4;
// Heartbeats of silence after which the platform removes the entry of a worker.
constexpr std::int64_t kEntryLifeMs = 4'500;
constexpr const char* kJobsTopic = "keyed.loom";

}  // namespace

void FaultRunner::Run(const FaultPlan& plan, std::int64_t length_ms) {
  const std::int64_t begin = NowMs();
  for (const PlannedFault& it : plan.faults()) {
    actions_.At(begin + it.at_ms, [this, it] { Apply(it); });
  }
  Wait(length_ms);
}

void FaultRunner::Wait(std::int64_t length_ms) {
  for (const std::int64_t end = NowMs() + length_ms; NowMs() < end;) {
    processes_.Poll();
    actions_.RunDue(NowMs());
    std::this_thread::sleep_for(kTick);
  }
}

void FaultRunner::Settle() {
  while (!actions_.empty() || !processes_.IsSettled()) {
    Wait(kTick.count());
  }
  links_.ClearFaults();
}

void FaultRunner::Apply(const PlannedFault& fault) {
  ++counts_[fault.kind];
  std::printf("%8lld ms: %s, target %zu, %lld ms\n", static_cast<long long>(NowMs()),
              std::string(FaultKindName(fault.kind)).c_str(), fault.target % 1'000,
              static_cast<long long>(fault.duration_ms));
  switch (fault.kind) {
    case FaultKind::kTerminate:
    case FaultKind::kTerminateTwo:
    case FaultKind::kRollingRestart:
    case FaultKind::kHangUp:
    case FaultKind::kKill:
    case FaultKind::kKillOwner:
    case FaultKind::kKillAll:
    case FaultKind::kFreeze:
    case FaultKind::kPowerOffAll:
      return ApplyToProcess(fault);
    case FaultKind::kConfigChange:
      return platform_.PublishConfig();
    case FaultKind::kStoreSlow:
    case FaultKind::kStoreLosesAnswers:
    case FaultKind::kStoreRefuses:
    case FaultKind::kStoreRefusesAppends:
    case FaultKind::kStoreTurnsAway:
    case FaultKind::kHistoryForgotten:
      return ApplyToStore(fault);
    case FaultKind::kLinkDelay:
    case FaultKind::kLinkReset:
    case FaultKind::kLinkCutToTarget:
    case FaultKind::kLinkCutToCaller:
    case FaultKind::kLinkSilence:
      return ApplyToLink(fault);
    case FaultKind::kWorkerCrash:
    case FaultKind::kWorkerMute:
    case FaultKind::kWorkerFails:
    case FaultKind::kWorkerLate:
      return ApplyToWorker(fault);
  }
}

void FaultRunner::ApplyToProcess(const PlannedFault& fault) {
  const std::size_t instance = fault.target % processes_.count();
  switch (fault.kind) {
    case FaultKind::kTerminateTwo:
      processes_.Terminate((instance + 1) % processes_.count(), fault.duration_ms);
      return processes_.Terminate(instance, fault.duration_ms);
    case FaultKind::kRollingRestart:
      return processes_.Roll(fault.duration_ms);
    case FaultKind::kHangUp:
      return processes_.HangUp(instance);
    case FaultKind::kKill:
      return processes_.Kill(instance, fault.duration_ms);
    case FaultKind::kKillOwner:
      return KillOwner(fault);
    case FaultKind::kKillAll:
    case FaultKind::kPowerOffAll:
      return KillAllAfterAcceptance(fault.duration_ms);
    case FaultKind::kFreeze:
      return processes_.Freeze(instance, fault.duration_ms);
    default:
      return processes_.Terminate(instance, fault.duration_ms);
  }
}

void FaultRunner::KillOwner(const PlannedFault& fault) {
  const auto owner = platform_.Owner();
  if (owner && owner->size() > 1) {
    processes_.Kill(std::stoul(owner->substr(1)) % processes_.count(), fault.duration_ms);
  }
}

void FaultRunner::KillAllAfterAcceptance(std::int64_t down_ms) {
  constexpr std::int64_t kPatienceMs = 1'000;
  constexpr std::chrono::milliseconds kPause{2};
  const std::size_t accepted = requests_.Accepted().size();
  const std::int64_t deadline = NowMs() + kPatienceMs;
  while (requests_.Accepted().size() == accepted && NowMs() < deadline) {
    std::this_thread::sleep_for(kPause);
  }
  for (std::size_t n = 0; n < processes_.count(); ++n) {
    processes_.Kill(n, down_ms);
  }
}

void FaultRunner::ForAWhile(std::int64_t duration_ms,
                            const std::function<void(standin::StandInStore&, bool is_on)>& change) {
  platform_.WithStore([&change](standin::StandInStore& it) { change(it, true); });
  actions_.At(NowMs() + duration_ms, [this, change] {
    platform_.WithStore([&change](standin::StandInStore& it) { change(it, false); });
  });
}

void FaultRunner::ApplyToStore(const PlannedFault& fault) {
  using Store = standin::StandInStore;
  switch (fault.kind) {
    case FaultKind::kStoreSlow:
      return ForAWhile(fault.duration_ms, [](Store& it, bool is_on) {
        it.SlowDown(is_on ? kStoreDelay : workload::Milliseconds(0));
      });
    case FaultKind::kStoreLosesAnswers:
      return ForAWhile(fault.duration_ms, [](Store& it, bool is_on) {
        it.LoseAppendAnswers(is_on ? kLostAnswers : 0);
      });
    case FaultKind::kStoreRefuses:
      return ForAWhile(fault.duration_ms, [](Store& it, bool is_on) { it.Refuse(is_on); });
    case FaultKind::kStoreRefusesAppends:
      return ForAWhile(fault.duration_ms, [](Store& it, bool is_on) { it.RefuseAppends(is_on); });
    case FaultKind::kStoreTurnsAway:
      return TurnAway(fault);
    default:
      return ForgetHistory(fault);
  }
}

void FaultRunner::TurnAway(const PlannedFault& fault) {
  // Every second or third instance, beginning with the target.
  const std::size_t stride = 2 + fault.target % 2;
  for (std::size_t n = fault.target % stride; n < processes_.count(); n += stride) {
    HarmLink({LinkKind::kStore, n}, LinkFault{.refuses = true}, fault.duration_ms);
    links_.Reset({LinkKind::kStore, n});
  }
}

void FaultRunner::ForgetHistory(const PlannedFault& fault) {
  processes_.Freeze(fault.target % processes_.count(), fault.duration_ms);
  actions_.At(NowMs() + fault.duration_ms * 9 / 10, [this] {
    platform_.WithStore([](standin::StandInStore& it) { it.Compact(kJobsTopic); });
  });
}

void FaultRunner::HarmLink(const SoakLink& link, LinkFault harm, std::int64_t duration_ms) {
  const std::int64_t now = NowMs();
  if (link.kind != LinkKind::kWorker) {
    disturbances_.Add({link.number, false, now, now + duration_ms});
  }
  links_.SetFault(link, harm);
  actions_.At(now + duration_ms, [this, link, now] {
    links_.SetFault(link, LinkFault{});
    if (link.kind != LinkKind::kWorker) {
      disturbances_.Add({link.number, false, now, NowMs()});
    }
  });
}

void FaultRunner::ApplyToLink(const PlannedFault& fault) {
  const auto links = links_.InstanceLinks();
  const SoakLink link = links.at(fault.target % links.size());
  switch (fault.kind) {
    case FaultKind::kLinkDelay:
      return HarmLink(link, LinkFault{.delay = kLinkDelay}, fault.duration_ms);
    case FaultKind::kLinkReset:
      disturbances_.Add({link.number, false, NowMs(), NowMs()});
      return links_.Reset(link);
    case FaultKind::kLinkCutToTarget:
      return HarmLink(link, LinkFault{.cut_to_target = true}, fault.duration_ms);
    case FaultKind::kLinkCutToCaller:
      return HarmLink(link, LinkFault{.cut_to_caller = true}, fault.duration_ms);
    default:
      return HarmLink(link, LinkFault{.cut_to_target = true, .cut_to_caller = true},
                      fault.duration_ms);
  }
}

void FaultRunner::ForAWhileAtWorker(
    std::size_t worker, std::int64_t duration_ms,
    const std::function<void(standin::StandInWorker&, bool is_on)>& change) {
  platform_.WithWorker(worker, [&change](standin::StandInWorker& it) { change(it, true); });
  actions_.At(NowMs() + duration_ms, [this, worker, change] {
    platform_.WithWorker(worker, [&change](standin::StandInWorker& it) { change(it, false); });
  });
}

void FaultRunner::ApplyToWorker(const PlannedFault& fault) {
  using Worker = standin::StandInWorker;
  const std::size_t worker = fault.target % platform_.worker_count();
  switch (fault.kind) {
    case FaultKind::kWorkerCrash:
      return CrashWorker(worker, fault.duration_ms);
    case FaultKind::kWorkerMute:
      return HarmLink({LinkKind::kWorker, worker}, LinkFault{.cut_to_caller = true},
                      fault.duration_ms);
    case FaultKind::kWorkerFails:
      return ForAWhileAtWorker(worker, fault.duration_ms,
                               [](Worker& it, bool is_on) { it.FailAll(is_on ? "failed" : ""); });
    default:
      // A start that arrives at the end is carried out later by the delay.
      actions_.At(NowMs() + 2 * fault.duration_ms, [] {});
      return ForAWhileAtWorker(
          worker, fault.duration_ms, [delay_ms = fault.duration_ms](Worker& it, bool is_on) {
            it.CarryOutStartsLate(workload::Milliseconds(is_on ? delay_ms : 0));
          });
  }
}

void FaultRunner::CrashWorker(std::size_t worker, std::int64_t duration_ms) {
  platform_.CrashWorker(worker);
  const std::int64_t now = NowMs();
  if (duration_ms > kEntryLifeMs) {
    actions_.At(now + kEntryLifeMs, [this, worker] { platform_.Unregister(worker); });
  }
  actions_.At(now + duration_ms, [this, worker] { platform_.RestartWorker(worker); });
}

}  // namespace clementineloom::soak
