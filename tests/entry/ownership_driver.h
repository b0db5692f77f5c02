#pragma once

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <cstdio>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "entry/ownership_command.h"
#include "entry/ownership_oracle.h"
#include "entry/ownership_scenario.h"
#include "entry/request_outcome.h"
#include "standin/standin_cluster.h"

namespace clementineloom::entry {

/// @brief Carries out a scenario on a cluster, and then ends all faults. Thread safety: none.
class OwnershipDriver {
 public:
  explicit OwnershipDriver(const OwnershipScenario& scenario)
      : scenario_(scenario),
        cluster_(static_cast<int>(OwnershipScenario::kInstances), scenario.worker_count,
                 workload::Milliseconds(scenario.run_time_ms)) {
    for (std::size_t n = 0; n < instances_.size(); ++n) {
      SetClockRate(n);
    }
  }

  /// @brief Runs the whole scenario. Returns the first violation.
  [[nodiscard]] std::optional<std::string> Run() {
    for (const OwnershipCommand& it : scenario_.commands) {
      Execute(it);
      oracle_.Check();
      if (oracle_.violation()) {
        return oracle_.violation();
      }
    }
    EndFaults();
    Settle();
    return oracle_.violation();
  }

 private:
  using Kind = OwnershipCommandKind;
  using Milliseconds = workload::Milliseconds;

  struct Instance {
    bool is_running = true;
    bool is_frozen = false;
    bool is_stopping = false;
    // Addresses that it does not reach, and those whose answers it does not get.
    std::set<std::string> cut;
    std::set<std::string> unanswered;
  };
  struct JobShape {
    const char* steps = nullptr;
    std::int64_t accelerators_per_task = 0;
    std::int64_t task_count = 0;
  };

  static constexpr std::array<JobShape, 4> kShapes{{
      {R"([{"count":1,"cpu":1000,"memMb":10,"gpus":2}])", 2, 1},
      {R"([{"count":3,"cpu":1000,"memMb":10,"gpus":4}])", 4, 3},
      {R"([{"count":1,"cpu":1000,"memMb":10,"gpus":8}])", 8, 1},
      {R"([{"count":2,"cpu":1000,"memMb":10,"gpus":4,"gang":true}])", 4, 2},
  }};
  static constexpr std::array<const char*, 4> kProducers{"owner", "e0-", "e1-", "e2-"};
  static constexpr std::array<const char*, 3> kTopics{"keyed.loom", "keyed.servers", "keyed.op"};
  // Work that the cluster does within a third of the time in which it must have settled.
  static constexpr std::int64_t kMaxWorkMs = 10'000;
  static constexpr int kOk = 200;

  void Execute(const OwnershipCommand& it) {
    switch (it.kind) {
      case Kind::kSubmit:
        SubmitNew(it);
        break;
      case Kind::kSubmitAgain:
        SubmitAgain(it);
        break;
      case Kind::kCancel:
        Cancel(it);
        break;
      case Kind::kKill:
        Kill(InstanceOf(it));
        break;
      case Kind::kStop:
        Stop(InstanceOf(it));
        break;
      case Kind::kRestart:
        Restart(InstanceOf(it));
        break;
      case Kind::kFreeze:
        Freeze(InstanceOf(it));
        break;
      case Kind::kThaw:
        Thaw(InstanceOf(it));
        break;
      case Kind::kCutFromStore:
        Cut(InstanceOf(it), standin::StandInStore::kAddress);
        break;
      case Kind::kCutFromWorker:
        Cut(InstanceOf(it), WorkerOf(it.b).address());
        break;
      case Kind::kLoseStoreAnswers:
        LoseAnswers(InstanceOf(it), standin::StandInStore::kAddress);
        break;
      case Kind::kLoseWorkerAnswers:
        LoseAnswers(InstanceOf(it), WorkerOf(it.b).address());
        break;
      case Kind::kHeal:
        Heal(it.a % instances_.size());
        break;
      default:
        ExecuteOnPlatform(it);
        break;
    }
  }

  // Commands that concern workers, the store, single calls and time.
  void ExecuteOnPlatform(const OwnershipCommand& it) {
    switch (it.kind) {
      case Kind::kRestartWorker:
        RestartWorker(it);
        break;
      case Kind::kUnregisterWorker:
        cluster_.Unregister(WorkerOf(it.b));
        break;
      case Kind::kRegisterWorker:
        cluster_.Register(WorkerOf(it.b));
        break;
      case Kind::kLoseAppendAnswers:
        cluster_.store.LoseAppendAnswers(1 + it.a % 3);
        break;
      case Kind::kHoldAppends:
        cluster_.store.HoldAppendsOf(kProducers[it.a % kProducers.size()], 1 + it.b % 3);
        break;
      case Kind::kApplyHeldAppends:
        cluster_.store.ApplyHeldAppends();
        break;
      case Kind::kRefuseAppends:
        cluster_.store.RefuseAppends(true);
        break;
      case Kind::kTakeAppends:
        cluster_.store.RefuseAppends(false);
        break;
      case Kind::kCompact:
        cluster_.store.Compact(kTopics[it.a % kTopics.size()]);
        break;
      case Kind::kDelayRequest:
      case Kind::kRepeatRequest:
      case Kind::kDelayAnswer:
        FaultNextCall(it);
        break;
      default:
        cluster_.RunFor(WaitOf(it));
        break;
    }
  }

  static Milliseconds WaitOf(const OwnershipCommand& it) {
    constexpr Milliseconds kMaxShort{64};
    constexpr Milliseconds kMaxMedium{1'000};
    constexpr Milliseconds kMaxLong{6'000};
    switch (it.kind) {
      case Kind::kWaitShort:
        return kMaxShort * (it.a + 1) / OwnershipCommand::kNumbers;
      case Kind::kWait:
        return kMaxMedium * (it.a + 1) / OwnershipCommand::kNumbers;
      default:
        return kMaxLong * (it.a + 1) / OwnershipCommand::kNumbers;
    }
  }

  // The owner for half of the numbers, if there is one.
  [[nodiscard]] std::size_t InstanceOf(const OwnershipCommand& it) const {
    const std::size_t any = it.a % instances_.size();
    return it.a < OwnershipCommand::kNumbers / 2 ? cluster_.OwnerIndex().value_or(any) : any;
  }
  [[nodiscard]] standin::StandInWorker& WorkerOf(std::uint16_t number) {
    return *cluster_.workers[number % cluster_.workers.size()];
  }

  // --- Callers.

  void SubmitNew(const OwnershipCommand& it) {
    const JobShape& shape = kShapes[it.b % kShapes.size()];
    const std::int64_t accelerators = shape.accelerators_per_task * shape.task_count;
    if ((used_accelerators_ + accelerators) * scenario_.run_time_ms >
        kMaxWorkMs * OwnershipOracle::kWorkerAccelerators * scenario_.worker_count) {
      return;
    }
    used_accelerators_ += accelerators;
    std::array<char, 17> id{};
    (void)std::snprintf(id.data(), id.size(), "%016zx", oracle_.jobs().size());
    Submit(it.a % instances_.size(), id.data(), shape,
           it.b < OwnershipCommand::kNumbers / 2 ? "/urgent/" : "/bulk/");
  }

  void SubmitAgain(const OwnershipCommand& it) {
    if (const auto job = Choose(it.b)) {
      const std::int64_t accelerators = oracle_.jobs().at(*job).accelerators_per_task;
      const auto* const shape = std::find_if(
          kShapes.begin(), kShapes.end(),
          [&](const JobShape& known) { return known.accelerators_per_task == accelerators; });
      Submit(it.a % instances_.size(), *job, *shape, "/urgent/");
    }
  }

  void Cancel(const OwnershipCommand& it) {
    const auto job = Choose(it.b);
    const std::size_t instance = it.a % instances_.size();
    if (!job || !instances_[instance].is_running) {
      return;
    }
    const std::size_t number = oracle_.NoteCancellation(*job);
    Ask(instance, "DELETE", "/urgent/" + *job, {},
        [this, job = *job, number](const net::HttpResponse& answer) {
          oracle_.NoteCancellationOutcome(job, number, OutcomeOf(answer));
        });
  }

  void Submit(std::size_t instance, const std::string& job, const JobShape& shape,
              const std::string& queue) {
    if (!instances_[instance].is_running) {
      return;
    }
    const std::size_t number = oracle_.NoteSubmission(job, shape.accelerators_per_task);
    Ask(instance, "POST", queue + job, std::string(R"({"spec":"x","steps":)") + shape.steps + "}",
        [this, job, number](const net::HttpResponse& answer) {
          oracle_.NoteSubmissionOutcome(job, number, OutcomeOf(answer));
        });
  }

  // Sends a request to an instance without waiting for the answer.
  void Ask(std::size_t instance, const std::string& method, const std::string& path,
           const std::string& body, const standin::SimWorld::Reply& reply) {
    const standin::SimWorld::Server* server =
        cluster_.world.Find("10.0.2." + std::to_string(instance) + ":1");
    (*server)({method, path,
               net::HttpHeaders()
                   .With("Authorization", "Token key")
                   .With("X-Clementineloom-Deadline-Ms", "2500"),
               body, "h"},
              reply);
  }

  static RequestOutcome OutcomeOf(const net::HttpResponse& answer) {
    if (answer.status == kOk) {
      return RequestOutcome::kAccepted;
    }
    const bool did_not_run = answer.body.find("did_not_run") != std::string::npos;
    return did_not_run ? RequestOutcome::kDidNotRun : RequestOutcome::kUnknown;
  }

  [[nodiscard]] std::optional<std::string> Choose(std::uint16_t number) const {
    if (oracle_.jobs().empty()) {
      return std::nullopt;
    }
    const auto chosen = static_cast<std::ptrdiff_t>(number % oracle_.jobs().size());
    return std::next(oracle_.jobs().begin(), chosen)->first;
  }

  // --- Instances.

  void SetClockRate(std::size_t n) {
    constexpr double kPerMille = 1'000;
    cluster_.port(n).SetClockRate(1 + scenario_.clock_error_per_mille[n] / kPerMille);
  }

  void Kill(std::size_t n) {
    if (instances_[n].is_running) {
      cluster_.Kill(n);
      instances_[n].is_running = false;
      instances_[n].is_frozen = false;
      instances_[n].is_stopping = false;
    }
  }

  void Stop(std::size_t n) {
    if (instances_[n].is_running && !instances_[n].is_frozen && !instances_[n].is_stopping) {
      cluster_.Stop(n);
      instances_[n].is_stopping = true;
    }
  }

  // Ends a planned stop first.
  void Restart(std::size_t n) {
    Instance& instance = instances_[n];
    if (instance.is_stopping) {
      Kill(n);
    }
    if (instance.is_running) {
      return;
    }
    cluster_.Restart(n);
    instance.is_running = true;
    SetClockRate(n);
    for (const std::string& it : instance.cut) {
      cluster_.port(n).Cut(it);
    }
    for (const std::string& it : instance.unanswered) {
      cluster_.port(n).LoseAnswers(it);
    }
  }

  void Freeze(std::size_t n) {
    if (instances_[n].is_running && !instances_[n].is_frozen) {
      cluster_.port(n).Freeze();
      instances_[n].is_frozen = true;
    }
  }

  void Thaw(std::size_t n) {
    if (instances_[n].is_frozen) {
      instances_[n].is_frozen = false;
      cluster_.port(n).Thaw();
    }
  }

  void Cut(std::size_t n, const std::string& address) {
    instances_[n].cut.insert(address);
    if (instances_[n].is_running) {
      cluster_.port(n).Cut(address);
    }
  }

  void LoseAnswers(std::size_t n, const std::string& address) {
    instances_[n].unanswered.insert(address);
    if (instances_[n].is_running) {
      cluster_.port(n).LoseAnswers(address);
    }
  }

  void Heal(std::size_t n) {
    Instance& instance = instances_[n];
    instance.cut.merge(instance.unanswered);
    if (instance.is_running) {
      for (const std::string& it : instance.cut) {
        cluster_.port(n).Heal(it);
      }
    }
    instance.cut.clear();
    instance.unanswered.clear();
  }

  // --- Workers and calls.

  // A worker may be slow to enter itself again.
  void RestartWorker(const OwnershipCommand& it) {
    standin::StandInWorker& worker = WorkerOf(it.b);
    worker.Restart();
    if (it.a % 2 == 0) {
      cluster_.Register(worker);
    }
  }

  // Late requests lose their answers, and crossed answers still arrive before the timeout of an
  // order.
  void FaultNextCall(const OwnershipCommand& it) {
    constexpr Milliseconds kMinLate{2'000};
    constexpr Milliseconds kMaxLate{12'000};
    constexpr Milliseconds kMaxRepeat{6'000};
    constexpr Milliseconds kMaxCrossed{650};
    constexpr std::array<const char*, 4> kTargets{"/run-start", "/run-start", "/run-stop", "/hold"};
    const std::size_t n = InstanceOf(it);
    if (!instances_[n].is_running) {
      return;
    }
    standin::CallFault fault;
    if (it.kind == Kind::kDelayRequest) {
      fault.request_delay = kMinLate + (kMaxLate - kMinLate) * it.b / OwnershipCommand::kNumbers;
      fault.loses_answer = true;
    } else if (it.kind == Kind::kRepeatRequest) {
      fault.repeated_after = kMaxRepeat * it.b / OwnershipCommand::kNumbers;
    } else {
      fault.answer_delay = kMaxCrossed * it.b / OwnershipCommand::kNumbers;
    }
    cluster_.port(n).FaultNextCall(kTargets[it.b % kTargets.size()], fault);
  }

  // --- The end.

  void EndFaults() {
    cluster_.store.LoseAppendAnswers(0);
    cluster_.store.RefuseAppends(false);
    for (const char* it : kProducers) {
      cluster_.store.HoldAppendsOf(it, 0);
    }
    cluster_.store.ApplyHeldAppends();
    for (std::size_t n = 0; n < instances_.size(); ++n) {
      Heal(n);
      Thaw(n);
      Restart(n);
      cluster_.port(n).DiscardFaults();
    }
    for (const auto& it : cluster_.workers) {
      cluster_.Register(*it);
    }
  }

  // Runs until every job that must complete has done so, and one instance is the owner.
  void Settle() {
    constexpr Milliseconds kBound{30'000};
    constexpr Milliseconds kStep{500};
    const auto end = cluster_.world.now() + kBound;
    std::string unsettled;
    do {
      cluster_.RunFor(kStep);
      oracle_.Check();
      unsettled = Unsettled();
    } while (!unsettled.empty() && !oracle_.violation() && cluster_.world.now() < end);
    if (!unsettled.empty()) {
      oracle_.Report("after the end of all faults: " + unsettled);
    }
  }

  // The first thing that is not settled yet; empty if all is.
  [[nodiscard]] std::string Unsettled() {
    if (cluster_.OwnerCount() != 1) {
      return std::to_string(cluster_.OwnerCount()) + " owners";
    }
    for (const std::string& job : oracle_.JobsToComplete()) {
      for (std::size_t n = 0; n < instances_.size(); ++n) {
        const auto answer = cluster_.Ask(n, "GET", "/bulk/" + job);
        if (!answer || answer->body.find("completed") == std::string::npos) {
          return "job " + job + " at instance " + std::to_string(n) + ": " +
                 (answer ? answer->body : "no answer");
        }
      }
    }
    return {};
  }

  const OwnershipScenario scenario_;
  standin::StandInCluster cluster_;
  OwnershipOracle oracle_{cluster_};
  // Accelerators of all tasks that were submitted.
  std::int64_t used_accelerators_ = 0;
  std::array<Instance, OwnershipScenario::kInstances> instances_;
};

}  // namespace clementineloom::entry
