#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "clementineloom/workload/planned_start.h"
#include "codec/task_name.h"
#include "entry/owner/gang_contact.h"
#include "entry/owner/owner_core.h"
#include "entry/owner/owner_timing.h"
#include "entry/worker/start_order.h"
#include "entry/worker/stop_order.h"

namespace clementineloom::entry {

/// @brief Orders workers to start and stop runs, and repeats each order until its outcome is known.
///
/// A start without an answer may be carried out later: it is repeated until the worker answers, the
/// run is stopped, or the lease ends. A worker that answers polls but no orders gets no new runs
/// and its lease is let go; one stop is repeated to notice when it answers again. Thread safety:
/// none; use from the thread of the port.
template <class Platform, CallPort Port>
class WorkerOrders {
 public:
  explicit WorkerOrders(OwnerCore<Platform, Port>& core) : core_(core), gangs_(core) {}

  /// @brief Orders a start, unless its task has ended, or its worker has been withdrawn or
  /// evacuated, since the start was planned. Precondition: the start is recorded, and its run holds
  /// capacity on the worker.
  void OrderStart(const workload::PlannedStart& start) {
    if (!core_.IsRecordedRun(start.worker, start.run.run)) {
      CancelStart(start, "the task has ended or was started again");
      return;
    }
    if (MustHoldBack(start)) {
      RetryStart(start);
      return;
    }
    if (IsAwaitingRestartedWorker(start)) {
      core_.poll_worker(start.worker);
      RetryStart(start);
      return;
    }
    if (!core_.MayStartOn(start.worker, start.run.run.task) || IsTooLargeAfterRestart(start) ||
        core_.links[start.worker].order_silence.IsLasting()) {
      CancelStart(start, "the worker takes no new runs");
      return;
    }
    WorkerLink& link = core_.links[start.worker];
    const auto lease_until = link.lease.Grant(core_.options.lease, core_.port.Now());
    if (!lease_until) {
      OnClockUnknown(start);
      return;
    }
    const workload::JobEntry* job = core_.jobs.Find(start.run.run.task.step.job);
    core_.FindRun(start.worker, start.run.run)->start_copies.OnSent(core_.port.Now());
    StartOrder order{start.run.run,        job == nullptr ? "" : job->submission->payload,
                     *lease_until,         core_.options.epoch,
                     start.run.checkpoint, start.ticket};
    core_.Order(start.worker, Platform::StartRequest(order, start.worker),
                [this, start](const OrderAnswer& answer) { OnStartAnswer(start, answer); });
    core_.poll_worker(start.worker);
  }

  /// @brief Whether a run that its worker does not list is kept for that worker, because an order
  /// of an earlier owner may still arrive there: a worker that has restarted since this owner
  /// called it does not refuse the order.
  ///
  /// Service tasks, gangs and steps that allow duplicates are kept only if the start may be
  /// ordered now: the former two must not wait, the latter may run twice.
  /// None is kept where the recorded runs exceed the limits of the worker: the earlier owner knew
  /// that one of them had not started, and gave its room to another.
  /// @param sent_at when the call was sent whose answer does not list the run
  [[nodiscard]] bool IsKeptForFormerOrder(const std::string& worker, const workload::PlacedRun& run,
                                          workload::SteadyTime sent_at) const {
    if (!run.former_order_until || sent_at >= *run.former_order_until ||
        run.stage == workload::RunStage::kStopping || !core_.IsRecordedRun(worker, run.run)) {
      return false;
    }
    const workload::StepSpec* spec = core_.jobs.FindStep(run.run.task.step);
    if (!IsWithinLimits(core_.workers.at(worker), run.run.task.step, *spec)) {
      return false;
    }
    const bool may_wait = !spec->runs_until_cancelled && !spec->is_gang && !spec->allows_duplicates;
    return may_wait || core_.MayStartOn(worker, run.run.task);
  }

  /// @brief Orders the start of such a run once more, if its worker takes runs. The record is
  /// stored again first, so that a successor knows of the order. Precondition:
  /// IsKeptForFormerOrder.
  void OrderAgain(const std::string& worker, const workload::TaskRun& run) {
    if (!core_.MayStartOn(worker, run.task)) {
      return;
    }
    workload::PlacedRun& placed = *core_.FindRun(worker, run);
    placed.stage = workload::RunStage::kStarting;
    placed.is_adopted = false;
    // The order of the earlier owner counts as a copy without an answer.
    placed.start_copies.OnSent(core_.port.Now());
    placed.missed_at = core_.port.Now();
    const workload::PlannedStart start{worker, placed, {}};
    LogStart("start_repeated", start, "an earlier owner's order may still arrive");
    const workload::TaskRecord record = core_.jobs.Find(run.task.step.job)->Task(run.task);
    core_.Append({workload::TaskSet{run.task, record}}, [this, start] {
      const workload::PlacedRun* it = core_.FindRun(start.worker, start.run.run);
      if (it != nullptr && it->stage == workload::RunStage::kStarting) {
        OrderStart(start);
      }
    });
  }

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

  /// @brief Makes a restarted worker refuse a run that was ordered from its earlier incarnation:
  /// the new one knows neither the run nor an order to stop it. Precondition: the run holds
  /// capacity on the worker.
  void RefuseAfterRestart(const std::string& worker, const workload::TaskRun& run) {
    BeginStop(worker, run);
  }

  /// @brief Handles the restart of a worker, before its new lists are applied.
  ///
  /// Makes it refuse starts without an answer whose runs are over: only the earlier incarnation
  /// knew that. Runs that still hold capacity are settled by the lists.
  void OnRestart(const std::string& worker) {
    NoteMissedStarts(worker);
    DropOldUnansweredStarts(worker);
    for (const auto& [run, timed_out_at] : core_.links[worker].unanswered_starts) {
      if (core_.FindRun(worker, run) == nullptr) {
        StopUnrecorded(worker, run);
      }
    }
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
  static constexpr workload::Milliseconds kOrderRetryDelay{300};

  static bool IsWithinLimits(const workload::PoolWorker& worker, const workload::StepId& step,
                             const workload::StepSpec& spec) {
    const bool is_spread = spec.max_per_worker == 0 || worker.CountOf(step) <= spec.max_per_worker;
    return is_spread && worker.used.FitsIn(worker.info.capacity);
  }

  // Whether the worker of a start has restarted with a capacity that its runs exceed.
  [[nodiscard]] bool IsTooLargeAfterRestart(const workload::PlannedStart& start) const {
    const workload::PlacedRun* run = core_.FindRun(start.worker, start.run.run);
    const workload::StepId& step = start.run.run.task.step;
    return run != nullptr && run->missed_at &&
           !IsWithinLimits(core_.workers.at(start.worker), step, *core_.jobs.FindStep(step));
  }

  // Orders a stop, which counts as confirmed once the worker has answered it. Precondition: the run
  // holds capacity on the worker.
  void BeginStop(const std::string& worker, const workload::TaskRun& run) {
    workload::PlacedRun* placed = core_.FindRun(worker, run);
    placed->stage = workload::RunStage::kStopping;
    placed->confirmed_at = workload::SteadyTime::max();
    SendStop(worker, run);
  }

  // Whether a start that was sent can be repeated once its worker, which has restarted, has shown
  // its lists.
  bool IsAwaitingRestartedWorker(const workload::PlannedStart& start) const {
    const workload::PlacedRun* run = core_.FindRun(start.worker, start.run.run);
    const workload::PoolWorker& worker = core_.workers[start.worker];
    return run != nullptr && run->start_copies.MayArrive() && !worker.is_attached &&
           worker.is_listed && !worker.info.is_draining && !core_.IsEvacuated(worker);
  }

  void NoteMissedStarts(const std::string& worker) {
    for (auto& [run, placed] : core_.workers[worker].runs) {
      if (placed.start_copies.MayArrive()) {
        placed.missed_at = core_.port.Now();
      }
    }
  }

  void DropOldUnansweredStarts(const std::string& worker) {
    std::erase_if(core_.links[worker].unanswered_starts, [this](const auto& it) {
      return core_.port.Now() - it.second > workload::StartCopies::kMaxDelay;
    });
  }

  // The worker has restarted and not answered since. No run is placed there until a poll has shown
  // the worker's clock.
  void OnClockUnknown(const workload::PlannedStart& start) {
    core_.workers[start.worker].is_attached = false;
    core_.poll_worker(start.worker);
    const workload::PlacedRun* run = core_.FindRun(start.worker, start.run.run);
    if (run != nullptr && run->start_copies.MayArrive()) {
      RetryStart(start);
    } else {
      ReleaseUnstartedRun(start.worker, start.run.run, "the worker's clock is not known");
    }
  }

  // Whether a worker has answered an order, if only to refuse it.
  static bool IsAnswered(OrderStatus status) {
    return status != OrderStatus::kUnknown && status != OrderStatus::kUnreachable;
  }

  void NoteAnswer(const std::string& worker, OrderStatus status) {
    const auto link = core_.links.find(worker);
    if (link != core_.links.end() && IsAnswered(status)) {
      link->second.order_silence.OnAnswered();
    }
  }

  // Notes that an order that will be repeated had no answer. A worker that does not answer polls
  // either is cut off, and its lease is not extended anyway.
  void NoteSilence(const std::string& worker) {
    const auto it = core_.links.find(worker);
    if (it == core_.links.end()) {
      return;
    }
    OrderSilence& silence = it->second.order_silence;
    const bool was_lasting = silence.IsLasting();
    if (it->second.failures == 0) {
      silence.OnUnanswered(core_.port.Now());
    }
    if (!silence.IsLasting()) {
      return;
    }
    core_.BackOff(worker, OwnerTiming::kLongBackoff);
    if (!was_lasting) {
      logging::LogEvent(logging::LogLevel::kWarning, "worker_answers_no_orders",
                        {{"worker", worker}, {"runs", core_.workers[worker].runs.size()}});
    }
  }

  // Repeats a start without an answer, unless its worker answers no orders at all.
  void RepeatUnanswered(const workload::PlannedStart& start) {
    NoteSilence(start.worker);
    if (core_.links[start.worker].order_silence.IsLasting()) {
      CancelStart(start, "the worker answers no orders");
    } else {
      RetryStart(start);
    }
  }

  static void NoteOutcome(workload::StartCopies& copies, OrderStatus status) {
    if (status == OrderStatus::kDone || status == OrderStatus::kSuperseded) {
      copies.OnCarriedOut();
    } else if (status != OrderStatus::kUnknown) {
      copies.OnNotCarriedOut();
    }
  }

  void OnStartAnswer(const workload::PlannedStart& start, const OrderAnswer& answer) {
    NoteAnswer(start.worker, answer.status);
    workload::PlacedRun* run = core_.FindRun(start.worker, start.run.run);
    if (run == nullptr) {
      return;
    }
    NoteOutcome(run->start_copies, answer.status);
    if (run->stage != workload::RunStage::kStarting) {
      return;
    }
    switch (answer.status) {
      case OrderStatus::kDone:
      case OrderStatus::kSuperseded:
        // A superseded run is in the list of ends, or is detected as missing.
        run->stage = workload::RunStage::kRunning;
        run->confirmed_at = core_.port.Now();
        break;
      case OrderStatus::kUnknown:
        DropOldUnansweredStarts(start.worker);
        core_.links[start.worker].unanswered_starts[start.run.run] = core_.port.Now();
        core_.links[start.worker].lease.NoteUnansweredStart(core_.options.max_lease,
                                                            core_.port.Now());
        core_.BackOff(start.worker, OwnerTiming::kFailureBackoff);
        RepeatUnanswered(start);
        break;
      case OrderStatus::kUnreachable:
        core_.BackOff(start.worker, OwnerTiming::kFailureBackoff);
        if (run->start_copies.MayArrive()) {
          RepeatUnanswered(start);
        } else {
          ReleaseUnstartedRun(start.worker, start.run.run, "unreachable");
        }
        break;
      case OrderStatus::kTicketRefused:
        core_.advice.Reject(start.run.run.task.step, start.worker);
        [[fallthrough]];
      default:
        OnStartRefused(start, answer.status);
        break;
    }
  }

  void OnStartRefused(const workload::PlannedStart& start, OrderStatus status) {
    if (status == OrderStatus::kRefused || status == OrderStatus::kNoRoom) {
      core_.BackOff(start.worker, OwnerTiming::kFailureBackoff);
    }
    CancelStart(start, "refused");
  }

  // Gives up a start, which may already have been sent.
  void CancelStart(const workload::PlannedStart& start, std::string_view reason) {
    const workload::PlacedRun* run = core_.FindRun(start.worker, start.run.run);
    if (run != nullptr && run->start_copies.MayArrive()) {
      LogStart("start_called_off", start, reason);
      // An earlier order may still arrive; the stop makes the worker refuse it.
      OrderStop(start.worker, start.run.run);
    } else {
      ReleaseUnstartedRun(start.worker, start.run.run, reason);
    }
  }

  // Whether a start may not be ordered for the time being: a view that is not current may lack an
  // evacuation, an order extends the lease, and the member of a gang may be done.
  [[nodiscard]] bool MustHoldBack(const workload::PlannedStart& start) const {
    const workload::PlacedRun* run = core_.FindRun(start.worker, start.run.run);
    return !core_.HasCurrentView() || !core_.MayExtendLease(start.worker) ||
           (run != nullptr && gangs_.MayBeDone(start.worker, *run));
  }

  void RetryStart(const workload::PlannedStart& start) {
    core_.port.After(kOrderRetryDelay, core_.Guard([this, start] {
      const workload::PlacedRun* run = core_.FindRun(start.worker, start.run.run);
      if (run == nullptr || run->stage != workload::RunStage::kStarting) {
        return;
      }
      // An order extends the lease, which must not happen for a worker that does not answer.
      if (core_.links[start.worker].failures > 0 || MustHoldBack(start)) {
        RetryStart(start);
      } else {
        LogStart("start_repeated", start,
                 run->start_copies.MayArrive() ? "no answer" : "held back");
        OrderStart(start);
      }
    }));
  }

  void LogStart(std::string_view event, const workload::PlannedStart& start,
                std::string_view reason) const {
    logging::LogEvent(logging::LogLevel::kInfo, event,
                      {{"task", codec::TaskName(start.run.run.task)},
                       {"run", start.run.run.run},
                       {"worker", start.worker},
                       {"reason", reason}});
  }

  // Releases the capacity of a run that did not start. Its task becomes pending again; the record
  // of the start is overwritten by the next one.
  void ReleaseUnstartedRun(const std::string& worker, const workload::TaskRun& run,
                           std::string_view reason) {
    logging::LogEvent(logging::LogLevel::kInfo, "start_refused",
                      {{"task", codec::TaskName(run.task)},
                       {"run", run.run},
                       {"worker", worker},
                       {"reason", reason}});
    core_.workers[worker].Remove(run);
    BreakGang(run);
    core_.schedule_plan();
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
    NoteAnswer(worker, answer.status);
    if (!IsAnswered(answer.status)) {
      NoteSilence(worker);
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
    core_.port.After(kOrderRetryDelay, core_.Guard([this, worker, run] {
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
  GangContact<Platform, Port> gangs_;
};

}  // namespace clementineloom::entry
