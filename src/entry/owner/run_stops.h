#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "entry/owner/order_contact.h"
#include "entry/owner/owner_core.h"
#include "entry/owner/owner_timing.h"
#include "entry/worker/stop_order.h"

namespace clementineloom::entry {

/// @brief Orders workers to stop runs, and repeats each order until its outcome is known.
///
/// One stop on a worker that answers no orders is repeated to notice when it answers again. Thread
/// safety: none; use from the thread of the port.
template <class Platform, CallPort Port>
class RunStops {
 public:
  RunStops(OwnerCore<Platform, Port>& core, OrderContact<Platform, Port>& contact)
      : core_(core), contact_(contact) {}

  /// @brief Orders a stop. The run holds its capacity until the worker lists its end.
  void OrderStop(const std::string& worker, const workload::TaskRun& run) {
    workload::PlacedRun* placed = core_.FindRun(worker, run);
    if (placed == nullptr || placed->stage == workload::RunStage::kStopping) {
      return;
    }
    if (placed->stage == workload::RunStage::kRecording) {
      core_.workers[worker].Remove(run);
      return;
    }
    BeginStop(worker, run);
  }

  /// @brief Stops a run that a worker lists but that is not recorded, because an earlier order was
  /// carried out late. Until its end is listed it holds its capacity, and its task is not started
  /// elsewhere.
  void StopUnrecorded(const std::string& worker, const workload::TaskRun& run) {
    const workload::StepSpec* spec = core_.jobs.FindStep(run.task.step);
    core_.workers[worker].Add(workload::PlacedRun::Of(
        run, spec == nullptr ? workload::StepSpec{} : *spec, 0, core_.port.Now()));
    BeginStop(worker, run);
  }

  /// @brief Makes a restarted worker stop or refuse a run that was ordered from its earlier
  /// incarnation: the new one does not know of an order to stop it. Precondition: the run holds
  /// capacity on the worker.
  void RefuseAfterRestart(const std::string& worker, const workload::TaskRun& run) {
    BeginStop(worker, run);
  }

  /// @brief Stops a running run, and with it its gang, by a decision of the scheduler.
  /// @param cause label value of the metric of stopped runs
  void StopEarly(const std::string& worker, const workload::TaskRun& run, std::string_view cause) {
    core_.metrics.Count(kRunsStopped.name, kRunsStopped.label, cause);
    OrderStop(worker, run);
    BreakGang(run);
  }

  /// @brief Stops the other members of a gang of which one run has ended or cannot start.
  void BreakGang(const workload::TaskRun& run) {
    const workload::StepSpec* spec = core_.jobs.FindStep(run.task.step);
    if (spec == nullptr || !spec->is_gang) {
      return;
    }
    StopRunsWhere([&run](const workload::PlacedRun& it) {
      return it.run.task.step == run.task.step && it.run.run == run.run;
    });
  }

  /// @brief Stops the other runs of a task of which one run is done. With it a whole gang is done,
  /// so that its other runs are stopped too, except members of the same run that are known to be
  /// running: they end together with it. A member without that knowledge may still be started by a
  /// copy of its order, if its worker has restarted.
  void StopOtherRuns(const workload::TaskRun& run) {
    const workload::StepSpec* spec = core_.jobs.FindStep(run.task.step);
    const bool is_gang = spec != nullptr && spec->is_gang;
    StopRunsWhere([&run, is_gang](const workload::PlacedRun& it) {
      const bool ends_together = it.run.run == run.run && it.stage == workload::RunStage::kRunning;
      return it.run.task == run.task ||
             (is_gang && it.run.task.step == run.task.step && !ends_together);
    });
  }

  /// @brief Stops all runs of a job.
  void StopRunsOf(const std::string& job) {
    StopRunsWhere([&job](const workload::PlacedRun& it) { return it.run.task.step.job == job; });
  }

 private:
  // Orders a stop, which counts as confirmed once the worker has answered it. Precondition: the run
  // holds capacity on the worker.
  void BeginStop(const std::string& worker, const workload::TaskRun& run) {
    workload::PlacedRun* placed = core_.FindRun(worker, run);
    placed->stage = workload::RunStage::kStopping;
    placed->confirmed_at = workload::SteadyTime::max();
    SendStop(worker, run);
  }

  void SendStop(const std::string& worker, const workload::TaskRun& run) {
    if (core_.workers[worker].info.address.empty()) {
      // An adopted run on a worker whose entry has not been read yet.
      RetryStop(worker, run);
      return;
    }
    core_.Order(
        worker, Platform::StopRequest({run, core_.options.epoch}, worker),
        [this, worker, run](const OrderAnswer& answer) { OnStopAnswer(worker, run, answer); });
    core_.poll_worker(worker);
  }

  void OnStopAnswer(const std::string& worker, const workload::TaskRun& run,
                    const OrderAnswer& answer) {
    contact_.NoteAnswer(worker, answer.status);
    if (!OrderContact<Platform, Port>::IsAnswered(answer.status)) {
      contact_.NoteSilence(worker);
    }
    workload::PlacedRun* placed = core_.FindRun(worker, run);
    const bool is_confirmed =
        answer.status == OrderStatus::kDone || answer.status == OrderStatus::kSuperseded;
    if (placed != nullptr && is_confirmed) {
      placed->confirmed_at = core_.port.Now();
      if (placed->start_copies.WereSentBefore(core_.links[worker].incarnation_began_at)) {
        placed->start_copies.OnRefusedAfterRestart();
      }
      core_.poll_worker(worker);
    } else if (!is_confirmed) {
      RetryStop(worker, run);
    }
  }

  bool MustRepeatStop(const std::string& worker, const workload::TaskRun& run) {
    if (core_.FindRun(worker, run) != nullptr) {
      return true;
    }
    const auto link = core_.links.find(worker);
    return link != core_.links.end() && link->second.order_silence.IsProbedBy(run);
  }

  void RetryStop(const std::string& worker, const workload::TaskRun& run) {
    core_.port.After(OwnerTiming::kOrderRetryDelay, core_.Guard([this, worker, run] {
      if (MustRepeatStop(worker, run)) {
        SendStop(worker, run);
      }
    }));
  }

  template <class Predicate>
  void StopRunsWhere(Predicate matches) {
    std::vector<std::pair<std::string, workload::TaskRun>> found;
    for (const auto& [id, worker] : core_.workers) {
      for (const auto& [run, placed] : worker.runs) {
        if (matches(placed)) {
          found.emplace_back(id, run);
        }
      }
    }
    for (const auto& [worker, run] : found) {
      OrderStop(worker, run);
    }
  }

  OwnerCore<Platform, Port>& core_;
  OrderContact<Platform, Port>& contact_;
};

}  // namespace clementineloom::entry
