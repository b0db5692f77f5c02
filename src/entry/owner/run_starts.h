#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "clementineloom/workload/planned_start.h"
#include "codec/task_name.h"
#include "entry/owner/gang_contact.h"
#include "entry/owner/order_contact.h"
#include "entry/owner/owner_core.h"
#include "entry/owner/owner_timing.h"
#include "entry/owner/run_stops.h"
#include "entry/worker/start_order.h"

namespace clementineloom::entry {

/// @brief Orders workers to start runs, and repeats each order until its outcome is known.
///
/// A start without an answer may be carried out later: it is repeated until the worker answers, the
/// run is stopped, or the lease ends. Thread safety: none; use from the thread of the port.
template <class Platform, CallPort Port>
class RunStarts {
 public:
  RunStarts(OwnerCore<Platform, Port>& core, OrderContact<Platform, Port>& contact,
            RunStops<Platform, Port>& stops)
      : core_(core), contact_(contact), stops_(stops), gangs_(core) {}

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
    if (HasQuotaFallen(start)) {
      CancelStart(start, "the quota of its team has fallen");
      return;
    }
    const auto ticket = TicketFor(start);
    if (!ticket) {
      CancelStart(start, "the ticket has expired");
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
                     start.run.checkpoint, *ticket};
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
    if (!core_.MayStartOn(worker, run.task) || core_.IsOverQuota(run.task)) {
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

  /// @brief Handles the restart of a worker, before its new lists are applied.
  ///
  /// Makes it refuse starts without an answer whose runs are over: only the earlier incarnation
  /// knew that. Runs that still hold capacity are settled by the lists.
  void OnRestart(const std::string& worker) {
    NoteMissedStarts(worker);
    DropOldUnansweredStarts(worker);
    for (const auto& [run, timed_out_at] : core_.links[worker].unanswered_starts) {
      if (core_.FindRun(worker, run) == nullptr) {
        stops_.StopUnrecorded(worker, run);
      }
    }
  }

 private:
  static bool IsWithinLimits(const workload::PoolWorker& worker, const workload::StepId& step,
                             const workload::StepSpec& spec) {
    const bool is_spread = spec.max_per_worker == 0 || worker.CountOf(step) <= spec.max_per_worker;
    return is_spread && worker.used.FitsIn(worker.info.capacity);
  }

  // The ticket that an order carries; nothing if the queue needs one and none is valid. An order
  // that may have been carried out is repeated even so: the worker accepts it for a run that it
  // has.
  [[nodiscard]] std::optional<std::string> TicketFor(const workload::PlannedStart& start) const {
    const workload::StepId& step = start.run.run.task.step;
    const workload::JobEntry* job = core_.jobs.Find(step.job);
    if (job == nullptr || !job->submission->queue.needs_advice) {
      return start.ticket;
    }
    std::string ticket = core_.advice.Ticket(step, start.worker, core_.port.Now());
    if (!ticket.empty()) {
      return ticket;
    }
    const workload::PlacedRun* run = core_.FindRun(start.worker, start.run.run);
    const bool may_be_there = run != nullptr && run->start_copies.MayArrive();
    return may_be_there ? std::optional(start.ticket) : std::nullopt;
  }

  // Whether a start that was never sent was planned under an earlier configuration, and its team
  // holds more than its quota now.
  [[nodiscard]] bool HasQuotaFallen(const workload::PlannedStart& start) const {
    const workload::PlacedRun* run = core_.FindRun(start.worker, start.run.run);
    return run != nullptr && !run->start_copies.MayArrive() &&
           run->placed_at <= core_.configured_at && core_.IsOverQuota(start.run.run.task);
  }

  // Whether the worker of a start has restarted with a capacity that its runs exceed.
  [[nodiscard]] bool IsTooLargeAfterRestart(const workload::PlannedStart& start) const {
    const workload::PlacedRun* run = core_.FindRun(start.worker, start.run.run);
    const workload::StepId& step = start.run.run.task.step;
    return run != nullptr && run->missed_at &&
           !IsWithinLimits(core_.workers.at(start.worker), step, *core_.jobs.FindStep(step));
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

  // Repeats a start without an answer, unless its worker answers no orders at all.
  void RepeatUnanswered(const workload::PlannedStart& start) {
    contact_.NoteSilence(start.worker);
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
    contact_.NoteAnswer(start.worker, answer.status);
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
      stops_.OrderStop(start.worker, start.run.run);
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
    core_.port.After(OwnerTiming::kOrderRetryDelay, core_.Guard([this, start] {
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
    stops_.BreakGang(run);
    core_.schedule_plan();
  }

  OwnerCore<Platform, Port>& core_;
  OrderContact<Platform, Port>& contact_;
  RunStops<Platform, Port>& stops_;
  GangContact<Platform, Port> gangs_;
};

}  // namespace clementineloom::entry
