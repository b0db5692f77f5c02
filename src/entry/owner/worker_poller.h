#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "clementineloom/workload/owner_contact.h"
#include "clementineloom/workload/run_stall.h"
#include "codec/task_name.h"
#include "entry/owner/fill_pacing.h"
#include "entry/owner/late_starts.h"
#include "entry/owner/lease_withholding.h"
#include "entry/owner/owner_core.h"
#include "entry/owner/owner_timing.h"
#include "entry/owner/run_ends.h"
#include "entry/owner/run_speeds.h"
#include "entry/owner/run_starts.h"
#include "entry/owner/run_stops.h"
#include "entry/worker/renew_order.h"
#include "entry/worker/worker_lists.h"

namespace clementineloom::entry {

/// @brief Polls workers for their lists, which renews their leases, and applies the lists.
///
/// Each worker gets one call at a time, a long poll that returns when a run ends. Idle workers are
/// not polled. Ends are acknowledged by the first call after they were recorded; until then, for
/// example in an outage of the store, calls that return immediately keep renewing the leases.
/// Thread safety: none; use from the thread of the port.
template <class Platform, CallPort Port>
class WorkerPoller {
 public:
  WorkerPoller(OwnerCore<Platform, Port>& core, RunStarts<Platform, Port>& starts,
               RunStops<Platform, Port>& stops, RunEnds<Platform, Port>& ends,
               LateStarts<Platform, Port>& late_starts, FillPacing<Platform, Port>& pacing,
               LeaseWithholding<Platform, Port>& withholding)
      : core_(core),
        starts_(starts),
        stops_(stops),
        ends_(ends),
        late_starts_(late_starts),
        pacing_(pacing),
        withholding_(withholding),
        run_speeds_(core) {}

  /// @brief Polls a worker unless a call is in flight or there is nothing to ask.
  void Poll(const std::string& id) {
    const auto it = core_.workers.find(id);
    if (it == core_.workers.end() || it->second.info.address.empty()) {
      return;
    }
    const WorkerLink& link = core_.links[id];
    if (link.is_polling || link.HasUnrecordedEnds()) {
      return;
    }
    const bool is_idle = it->second.is_attached && it->second.runs.empty();
    const bool has_ends_to_acknowledge = link.acknowledged_end > link.confirmed_acknowledgement;
    if (is_idle && !has_ends_to_acknowledge) {
      return;
    }
    RequestLists(id, is_idle);
  }

  /// @brief Requests the lists of a worker, whether or not it has runs.
  /// @param is_idle whether the worker has no runs, so that the call does not wait for an end
  /// Precondition: no such call is in flight.
  void RequestLists(const std::string& id, bool is_idle) {
    WorkerLink& link = core_.links[id];
    link.is_polling = true;
    RenewOrder order;
    order.fencing_token = core_.options.epoch;
    if (MayAcknowledge(link)) {
      order.acknowledged_end = link.acknowledged_end;
      LogEnds("ends_acknowledged", id, order.acknowledged_end);
    }
    // The lease of a worker that does not answer polls or orders is not extended, so that its runs
    // end in bounded time.
    if (link.failures == 0 && !link.order_silence.IsLasting() && core_.MayExtendLease(id)) {
      order.lease_until_ms = link.lease.Grant(core_.options.lease, core_.port.Now());
    }
    if (order.lease_until_ms && !is_idle && !link.HasUnrecordedEnds()) {
      order.wait_ms = PollWait(id).count();
    }
    const auto sent_at = core_.port.Now();
    const workload::WorkerInfo& info = core_.workers[id].info;
    core_.port.Call(
        info.address, Platform::RenewRequest(order, info.id), PollTimeout(order),
        core_.Guard([this, id, sent_at, ack = order.acknowledged_end](
                        const net::ClientResult& result) { OnLists(id, sent_at, ack, result); }));
  }

  /// @brief Handles the incarnation that a worker's entry names. Entries of earlier incarnations
  /// may be read late and are ignored. A later one counts once the worker confirms it.
  void OnEntry(const std::string& id, std::int64_t started_at_ms) {
    const WorkerLink& link = core_.links[id];
    if (link.started_at_ms != 0 && started_at_ms > link.started_at_ms) {
      AskIncarnation(id);
    }
  }

 private:
  using Records = typename OwnerCore<Platform, Port>::Records;

  // A third of the shortest lease, so that two lost calls do not end any run.
  static constexpr workload::Milliseconds kPollWait{1'300};
  // Tail latencies are reported over half a second, and the pace must follow within seconds.
  static constexpr workload::Milliseconds kPollWaitWhilePacing{350};
  // Well below the shortest lease, and long enough to limit the calls while the ends of all workers
  // wait for the store.
  static constexpr workload::Milliseconds kRenewalPause{1'000};
  static constexpr workload::Milliseconds kPollSlack{700};
  static constexpr workload::Milliseconds kPollRetryDelay{200};
  static constexpr workload::Milliseconds kIdlePollRetryDelay{1'000};
  static constexpr std::uint32_t kUrgentPolls = 30;

  // Two calls in a row fit into the window in which a worker counts as reached.
  static constexpr workload::Milliseconds kPollWaitWhileUnconfirmed{1'000};

  // How long a poll may wait for an end. A poll that is answered when a hold ends lets the next one
  // release the run at once.
  [[nodiscard]] workload::Milliseconds PollWait(const std::string& id) const {
    const workload::Milliseconds longest = LongestPollWait(id);
    const auto& hold_ends_at = core_.links.at(id).hold_ends_at;
    if (!hold_ends_at) {
      return longest;
    }
    const auto until_then =
        std::chrono::ceil<workload::Milliseconds>(*hold_ends_at - core_.port.Now());
    return std::clamp(until_then, workload::Milliseconds(0), longest);
  }

  [[nodiscard]] workload::Milliseconds LongestPollWait(const std::string& id) const {
    if (FillPacing<Platform, Port>::IsMixed(core_.workers.at(id))) {
      return kPollWaitWhilePacing;
    }
    const bool is_confirmed =
        core_.port.Now() - core_.confirmed_at <= workload::OwnerContact::kGrace;
    return is_confirmed ? kPollWait : kPollWaitWhileUnconfirmed;
  }

  static workload::Milliseconds PollTimeout(const RenewOrder& order) {
    return workload::Milliseconds(order.wait_ms) + kPollSlack;
  }

  // An acknowledged number is valid only for the incarnation that listed the ends; another one
  // would drop ends of its own that nobody has read.
  [[nodiscard]] bool MayAcknowledge(const WorkerLink& link) const {
    return link.acknowledged_end > link.confirmed_acknowledgement && link.failures == 0 &&
           core_.port.Now() - link.last_answered_sent_at <= OwnerTiming::kIncarnationKnownFor;
  }

  // Resets the link for a new incarnation of a worker. Its lists will show which runs it has.
  void BeginIncarnation(const std::string& id, std::int64_t started_at_ms) {
    WorkerLink& link = core_.links[id];
    logging::LogEvent(logging::LogLevel::kInfo, "worker_life_began",
                      {{"worker", id},
                       {"former", link.started_at_ms},
                       {"life", started_at_ms},
                       {"runs", core_.workers[id].runs.size()},
                       {"epoch", core_.options.epoch}});
    link.lease.BeginIncarnation(core_.options.max_lease, core_.port.Now());
    link.processed_end = 0;
    link.acknowledged_end = 0;
    link.confirmed_acknowledgement = 0;
    link.started_at_ms = started_at_ms;
    link.order_silence.OnAnswered();
    ++link.restarts;
    link.incarnation_began_at = core_.port.Now();
    core_.workers[id].is_attached = false;
    core_.advice.DropWorker(id);
    core_.speeds.Forget(id);
    starts_.OnRestart(id);
  }

  // Asks a worker when it started, beside the poll that may still wait for an answer of an earlier
  // incarnation.
  void AskIncarnation(const std::string& id) {
    const workload::WorkerInfo& info = core_.workers[id].info;
    if (info.address.empty()) {
      return;
    }
    RenewOrder order;
    order.fencing_token = core_.options.epoch;
    core_.port.Call(
        info.address, Platform::RenewRequest(order, info.id), kPollSlack,
        core_.Guard([this, id, sent_at = core_.port.Now()](const net::ClientResult& result) {
          OnIncarnation(id, sent_at, result);
        }));
  }

  void OnIncarnation(const std::string& id, workload::SteadyTime sent_at,
                     const net::ClientResult& result) {
    const auto worker = core_.workers.find(id);
    if (worker == core_.workers.end()) {
      return;
    }
    core_.NotePresence(id, result, sent_at);
    if (Platform::ParseOrder(result).status == OrderStatus::kFenced) {
      core_.LoseOwnershipToHigherEpoch();
      return;
    }
    const auto lists = Platform::ParseLists(result);
    const std::int64_t started_at_ms = lists ? lists->started_at_ms.value_or(0) : 0;
    if (started_at_ms > core_.links[id].started_at_ms) {
      BeginIncarnation(id, started_at_ms);
      ends_.LoseRunsOfEarlierIncarnation(id, started_at_ms);
    } else if (!lists) {
      // No run is placed there until a poll is answered.
      worker->second.is_attached = false;
    }
    Poll(id);
  }

  void OnLists(const std::string& id, workload::SteadyTime sent_at, std::uint64_t ack,
               const net::ClientResult& result) {
    WorkerLink& link = core_.links[id];
    link.is_polling = false;
    core_.NotePresence(id, result, sent_at);
    if (result.response) {
      core_.silence.OnAnswer(core_.port.Now());
    }
    // A worker is not removed while a call to it is in flight.
    workload::PoolWorker& worker = core_.workers.at(id);
    const OrderAnswer answer = Platform::ParseOrder(result);
    if (answer.status == OrderStatus::kFenced) {
      core_.LoseOwnershipToHigherEpoch();
      return;
    }
    const auto lists = Platform::ParseLists(result);
    if (answer.status == OrderStatus::kOtherIncarnation) {
      ends_.LoseRuns(id, "another incarnation of the worker answered");
      worker.is_attached = false;
    }
    if (!lists) {
      OnPollFailed(id, result);
      return;
    }
    link.failures = 0;
    withholding_.Withdraw(id);
    const std::int64_t incarnation = lists->started_at_ms.value_or(worker.info.started_at_ms);
    const bool is_other_incarnation =
        link.started_at_ms != 0 && incarnation != 0 && incarnation != link.started_at_ms;
    if (is_other_incarnation && sent_at <= link.incarnation_began_at) {
      // The answer is from an earlier incarnation.
      Poll(id);
      return;
    }
    if (is_other_incarnation) {
      BeginIncarnation(id, incarnation);
    } else {
      link.confirmed_acknowledgement = std::max(link.confirmed_acknowledgement, ack);
      link.lease.ConfirmIncarnation(sent_at);
    }
    link.started_at_ms = incarnation;
    link.answered_at = core_.port.Now();
    link.last_answered_sent_at = sent_at;
    link.lease.OnClock(lists->clock_ms, core_.port.Now());
    if (!worker.is_attached) {
      worker.is_attached = true;
      logging::LogEvent(logging::LogLevel::kInfo, "worker_attached",
                        {{"worker", id},
                         {"epoch", core_.options.epoch},
                         {"running", lists->running.size()},
                         {"ended", lists->ended.size()}});
      core_.schedule_plan();
    }
    ApplyLists(id, *lists, sent_at);
  }

  void OnPollFailed(const std::string& id, const net::ClientResult& result) {
    WorkerLink& link = core_.links[id];
    link.last_failure_at = core_.port.Now();
    if (link.failures++ == 0) {
      logging::LogEvent(
          logging::LogLevel::kWarning, "worker_silent",
          {{"worker", id},
           {"runs", core_.workers[id].runs.size()},
           {"detail", result.refusal ? result.refusal->detail : "unexpected answer"}});
      RecordCheckpoints(id);
    }
    core_.BackOff(id, OwnerTiming::kFailureBackoff);
    const bool is_urgent = !core_.workers[id].runs.empty() && link.failures < kUrgentPolls;
    core_.port.After(is_urgent ? kPollRetryDelay : kIdlePollRetryDelay,
                     core_.Guard([this, id] { RetryPoll(id); }));
  }

  // Records the progress of the runs on a worker that has stopped answering. Should it be lost, a
  // later owner can learn their checkpoints from nobody else. Members of a gang are left out: all
  // of them have to resume from the same checkpoint.
  void RecordCheckpoints(const std::string& id) {
    Records records;
    for (const auto& [run, placed] : core_.workers[id].runs) {
      const workload::JobEntry* job = core_.jobs.Find(run.task.step.job);
      const workload::StepSpec* spec = job == nullptr ? nullptr : job->FindStep(run.task.step.step);
      if (spec == nullptr || spec->is_gang || !job->IsOpen() || placed.checkpoint.empty()) {
        continue;
      }
      workload::TaskRecord record = job->Task(run.task);
      if (record.IsPlacedAs(run.run, id) && record.checkpoint != placed.checkpoint) {
        record.checkpoint = placed.checkpoint;
        records.push_back(workload::TaskSet{run.task, std::move(record)});
      }
    }
    if (!records.empty()) {
      core_.Append(records, [] {});
    }
  }

  // Polls again whether or not ends of the worker are being recorded.
  void RetryPoll(const std::string& id) {
    Poll(id);
    RenewWhileRecording(id);
  }

  void ApplyLists(const std::string& id, const WorkerLists& lists, workload::SteadyTime sent_at) {
    late_starts_.OnPollAnswered(id);
    Records records;
    std::set<workload::TaskRun> listed;
    for (const RunningItem& it : lists.running) {
      listed.insert(it.run);
      ApplyRunning(id, it);
    }
    WorkerLink& link = core_.links[id];
    std::uint64_t last_end = link.processed_end;
    for (const EndedItem& it : lists.ended) {
      if (it.number > link.processed_end) {
        last_end = std::max(last_end, it.number);
        listed.insert(it.run);
        ends_.ApplyEnd(id, it.run, it.reason, it.checkpoint, records);
      }
    }
    if (!lists.may_have_more_ends) {
      HandleMissingRuns(id, listed, sent_at, records);
    }
    pacing_.OnReport(id);
    if (!records.empty() || last_end > link.processed_end) {
      RecordEnds(id, records, last_end);
    }
    ScheduleNextPoll(id);
  }

  void RecordEnds(const std::string& id, const Records& records, std::uint64_t last_end) {
    WorkerLink& link = core_.links[id];
    ++link.pending_end_appends;
    link.processed_end = last_end;
    LogEnds("ends_listed", id, last_end);
    core_.AppendApplied(records, [this, id, last_end, restarts = link.restarts] {
      OnEndsRecorded(id, last_end, restarts);
    });
    core_.schedule_plan();
  }

  // @param restarts number of restarts of the worker when it listed the ends
  void OnEndsRecorded(const std::string& id, std::uint64_t last_end, std::uint32_t restarts) {
    WorkerLink& link = core_.links[id];
    LogEnds("ends_recorded", id, last_end);
    --link.pending_end_appends;
    if (link.restarts == restarts) {
      link.acknowledged_end = std::max(link.acknowledged_end, last_end);
    }
    Poll(id);
  }

  void ScheduleNextPoll(const std::string& id) {
    WorkerLink& link = core_.links[id];
    // A call that does not renew the lease is answered immediately.
    if (!link.HasUnrecordedEnds() && !link.order_silence.IsLasting() && core_.MayExtendLease(id)) {
      Poll(id);
    } else if (!std::exchange(link.is_renewal_due, true)) {
      core_.port.After(kRenewalPause, core_.Guard([this, id] { RetryPoll(id); }));
    }
  }

  void RenewWhileRecording(const std::string& id) {
    const auto link = core_.links.find(id);
    if (link == core_.links.end()) {
      return;
    }
    link->second.is_renewal_due = false;
    if (link->second.HasUnrecordedEnds() && !link->second.is_polling) {
      RequestLists(id, core_.workers[id].runs.empty());
    }
  }

  // An acknowledged end cannot be listed again, so that each step towards the acknowledgement is
  // logged with the incarnation it refers to.
  void LogEnds(std::string_view event, const std::string& id, std::uint64_t last_end) const {
    logging::LogEvent(logging::LogLevel::kInfo, event,
                      {{"worker", id},
                       {"life", core_.links.at(id).started_at_ms},
                       {"end", last_end},
                       {"unrecorded", core_.backlog()},
                       {"epoch", core_.options.epoch}});
  }

  void ApplyRunning(const std::string& id, const RunningItem& item) {
    workload::PlacedRun* run = core_.FindRun(id, item.run);
    if (run == nullptr) {
      logging::LogEvent(logging::LogLevel::kWarning, "unknown_run_stopped",
                        {{"task", codec::TaskName(item.run.task)},
                         {"run", item.run.run},
                         {"worker", id},
                         {"life", core_.links[id].started_at_ms}});
      stops_.StopUnrecorded(id, item.run);
      return;
    }
    WorkerLink& link = core_.links[id];
    const bool is_new = run->listed_in_incarnation != link.started_at_ms;
    if (is_new && run->start_copies.WereSentBefore(link.incarnation_began_at)) {
      link.lease.NoteStartOfEarlierClock(core_.options.max_lease, core_.port.Now());
    }
    run->listed_in_incarnation = link.started_at_ms;
    run->start_copies.OnListed();
    run->missed_at.reset();
    if (run->is_adopted) {
      // The order of the earlier owner has arrived.
      run->former_order_until.reset();
    }
    if (!item.checkpoint.empty() && run->checkpoint != item.checkpoint) {
      run->checkpoint = item.checkpoint;
      run->saved_at = run->saved_at.value_or(core_.port.Now());
    }
    run->load_figure = item.load_figure;
    UpdateProgress(id, *run, item.percent);
    if (run->stage == workload::RunStage::kStopping &&
        run->confirmed_at < link.incarnation_began_at) {
      // A late copy of its order has started it in an incarnation that knows of no stop.
      stops_.RefuseAfterRestart(id, item.run);
    }
    if (run->stage == workload::RunStage::kStarting) {
      run->stage = workload::RunStage::kRunning;
      run->confirmed_at = core_.port.Now();
      const workload::JobEntry* job = core_.jobs.Find(item.run.task.step.job);
      if (job == nullptr || !job->IsOpen()) {
        stops_.OrderStop(id, item.run);
      }
    }
  }

  // Updates the progress of a run. A stalled run is stopped to run elsewhere, and its worker gets
  // no new runs for a while.
  void UpdateProgress(const std::string& id, workload::PlacedRun& run, std::uint32_t percent) {
    const auto now = core_.port.Now();
    run_speeds_.OnProgress(id, run, percent);
    if (run.first_percent_at == workload::SteadyTime()) {
      run.first_percent = percent;
      run.first_percent_at = now;
    }
    if (percent != run.progress_percent || run.progressed_at == workload::SteadyTime()) {
      run.progress_percent = percent;
      run.progressed_at = now;
      return;
    }
    const workload::StepSpec* spec = core_.OpenStepOf(run);
    if (spec != nullptr && workload::HasStalled(*spec, run, now, core_.options.gang_timeout)) {
      logging::LogEvent(logging::LogLevel::kWarning, "run_stalled",
                        {{"task", codec::TaskName(run.run.task)},
                         {"run", run.run.run},
                         {"worker", id},
                         {"percent", percent}});
      core_.BackOff(id, OwnerTiming::kLongBackoff);
      stops_.StopEarly(id, run.run, "stalled");
    }
  }

  // Whether a run that its worker still has must be in the lists of a call sent at this time.
  // Adopted runs must be in any stage: the fencing token of the call makes the worker refuse late
  // orders of earlier owners.
  static bool MustBeListed(const workload::PlacedRun& run, workload::SteadyTime sent_at) {
    const bool is_confirmed =
        (run.stage == workload::RunStage::kRunning || run.stage == workload::RunStage::kStopping) &&
        run.confirmed_at < sent_at;
    return is_confirmed || run.is_adopted;
  }

  // Handles runs that the worker must know of but does not list.
  void HandleMissingRuns(const std::string& id, const std::set<workload::TaskRun>& listed,
                         workload::SteadyTime sent_at, Records& records) {
    std::vector<workload::PlacedRun> missing;
    for (const auto& [run, placed] : core_.workers[id].runs) {
      if (!listed.contains(run) && MustBeListed(placed, sent_at)) {
        missing.push_back(placed);
      }
    }
    WorkerLink& link = core_.links[id];
    link.hold_ends_at.reset();
    const workload::SteadyTime incarnation_began_at = link.incarnation_began_at;
    for (const workload::PlacedRun& it : missing) {
      if (starts_.IsKeptForFormerOrder(id, it, sent_at)) {
        NoteHold(link, *it.former_order_until);
        // An incarnation that refuses the run is not asked twice.
        if (it.is_adopted || it.confirmed_at < incarnation_began_at) {
          starts_.OrderAgain(id, it.run);
        }
      } else if (it.start_copies.MayArrive() && it.confirmed_at < incarnation_began_at) {
        stops_.RefuseAfterRestart(id, it.run);
      } else if (late_starts_.IsHeld(it, sent_at)) {
        NoteHold(link, *it.start_copies.LateUntil());
      } else {
        ends_.ApplyEnd(id, it.run, workload::EndReason::kLapsed, it.checkpoint, records);
      }
    }
  }

  static void NoteHold(WorkerLink& link, workload::SteadyTime ends_at) {
    link.hold_ends_at = std::min(link.hold_ends_at.value_or(ends_at), ends_at);
  }

  OwnerCore<Platform, Port>& core_;
  RunStarts<Platform, Port>& starts_;
  RunStops<Platform, Port>& stops_;
  RunEnds<Platform, Port>& ends_;
  LateStarts<Platform, Port>& late_starts_;
  FillPacing<Platform, Port>& pacing_;
  LeaseWithholding<Platform, Port>& withholding_;
  RunSpeeds<Platform, Port> run_speeds_;
};

}  // namespace clementineloom::entry
