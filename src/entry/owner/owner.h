#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "clementineloom/workload/advice_book.h"
#include "clementineloom/workload/job_table.h"
#include "clementineloom/workload/owner_contact.h"
#include "clementineloom/workload/owner_election.h"
#include "clementineloom/workload/run_outcome.h"
#include "clementineloom/workload/run_stall.h"
#include "clementineloom/workload/task_planner.h"
#include "clementineloom/workload/worker_pool.h"
#include "codec/task_name.h"
#include "codec/workload_record_codec.h"
#include "entry/operator/operator_view.h"
#include "entry/owner/owner_options.h"
#include "entry/owner/worker_link.h"
#include "entry/port/call_port.h"
#include "entry/port/life_guard.h"
#include "entry/store/appender.h"
#include "entry/worker/order_answer.h"
#include "entry/worker/pace_order.h"
#include "entry/worker/renew_order.h"
#include "entry/worker/start_order.h"
#include "entry/worker/stop_order.h"
#include "entry/worker/worker_lists.h"
#include "logging/event_log.h"

namespace clementineloom::entry {

/// @brief Owns the workers while its epoch is the newest: places tasks, orders starts and stops,
/// renews leases and records ends.
///
/// A start is recorded before it is ordered, and an end before it is acknowledged to its worker,
/// so that another instance can take over at any moment. Changes are applied to the table at once
/// and reach the store in that order. When the store or a worker shows that a higher epoch exists,
/// or the store has not confirmed this one for kMaxUnconfirmed, on_lost runs once and the owner
/// orders nothing more.
/// Thread safety: none; use from the thread of the port.
template <class Platform, CallPort Port>
class Owner {
 public:
  Owner(Port& port, workload::JobTable& jobs, const OperatorView& operators,
        std::unique_ptr<Appender<Platform, Port>> appender, OwnerOptions options,
        std::function<void()> on_lost)
      : port_(port),
        jobs_(jobs),
        operators_(operators),
        appender_(std::move(appender)),
        options_(std::move(options)),
        on_lost_(std::move(on_lost)),
        took_over_at_(port.Now()),
        confirmed_at_(port.Now()) {}

  /// @brief Takes over what was recorded. Call once, before the workers are told.
  void Start() {
    AdoptRuns();
    Tick();
  }

  /// @brief A worker registered or changed its entry.
  void OnWorker(const workload::WorkerInfo& info) {
    workload::PoolWorker& worker = workers_[info.id];
    WorkerLink& link = links_[info.id];
    const bool is_new_life =
        link.born_at_ms != 0 && info.born_at_ms != 0 && info.born_at_ms != link.born_at_ms;
    worker.info = info;
    worker.is_listed = true;
    if (is_new_life) {
      BeginLife(info.id, info.born_at_ms);
    }
    if (!worker.is_attached) {
      Poll(info.id);
    }
    PlanSoon();
  }

  /// @brief A worker's entry is gone. What runs there is known to have ended with its lease only.
  void OnWorkerGone(const std::string& id) {
    const auto it = workers_.find(id);
    if (it == workers_.end()) {
      return;
    }
    it->second.is_listed = false;
    logging::LogEvent(logging::LogLevel::kInfo, "worker_unlisted",
                      {{"worker", id}, {"runs", it->second.runs.size()}});
    if (it->second.runs.empty()) {
      DropWorker(id);
    }
  }

  /// @brief Jobs were submitted or cancelled.
  void OnJobsChanged() {
    StopCancelled();
    PlanSoon();
  }

  /// @brief The configuration or the evacuated data centres changed.
  void OnOperatorsChanged() { PlanSoon(); }

  /// @brief Gives ownership up after all that was decided is recorded.
  void Resign(std::function<void()> done) {
    is_resigning_ = true;
    Append(
        {workload::OwnerSet{{options_.epoch, options_.instance, workload::OwnerPhase::kResigned}}},
        [done = std::move(done)] { done(); });
  }

 private:
  static constexpr workload::Milliseconds kTick{250};
  // Lets the events of one moment share a plan.
  static constexpr workload::Milliseconds kPlanDelay{4};
  static constexpr workload::Milliseconds kOrderTimeout{700};
  static constexpr workload::Milliseconds kOrderRetryDelay{300};
  // A third of the shortest lease, so that two lost calls end nothing.
  static constexpr workload::Milliseconds kPollWait{1'300};
  static constexpr workload::Milliseconds kPollSlack{700};
  static constexpr workload::Milliseconds kPollRetryDelay{200};
  static constexpr workload::Milliseconds kIdlePollRetryDelay{1'000};
  static constexpr workload::Milliseconds kRestAfterFailure{1'000};
  static constexpr workload::Milliseconds kLongRestAfterFailure{4'000};

  using Records = std::vector<workload::WorkloadRecord>;

  // Runs an action unless the owner is gone or lost by then.
  template <class Action>
  auto Guard(Action action) {
    return life_.Wrap([this, action = std::move(action)](auto&&... args) {
      if (!is_lost_) {
        action(std::forward<decltype(args)>(args)...);
      }
    });
  }

  void Lose(std::string_view reason) {
    if (is_lost_) {
      return;
    }
    is_lost_ = true;
    logging::LogEvent(logging::LogLevel::kWarning, "ownership_lost",
                      {{"epoch", options_.epoch}, {"reason", reason}});
    on_lost_();
  }

  // Applies records at once and calls back when they are stored.
  void Append(const Records& records, std::function<void()> stored) {
    std::vector<workload::KeyedValue> items;
    for (const workload::WorkloadRecord& it : records) {
      jobs_.Apply(it);
      items.push_back(codec::EncodeWorkloadRecord(it));
    }
    appender_->Append(std::move(items),
                      Guard([this, stored = std::move(stored)](AppendStatus status) {
                        if (status == AppendStatus::kAppended) {
                          confirmed_at_ = port_.Now();
                          stored();
                        } else {
                          Lose("the store refused the epoch");
                        }
                      }));
  }

  void AdoptRuns() {
    for (const auto& [id, job] : jobs_.jobs()) {
      for (const auto& [place, row] : job.tasks) {
        for (std::uint32_t index = 0; index < row.size(); ++index) {
          if (row[index].phase == workload::TaskPhase::kPlaced) {
            Adopt(job, {{id, place.first, place.second}, index}, row[index]);
          }
        }
      }
    }
  }

  void Adopt(const workload::JobEntry& job, const workload::TaskId& task,
             const workload::TaskRecord& record) {
    workload::PlacedRun run;
    run.run = {task, record.run};
    run.stage = workload::RunStage::kStarting;
    run.placed_at = took_over_at_;
    run.is_adopted = true;
    run.checkpoint = record.checkpoint;
    if (job.submission && task.step.step < job.submission->steps.size()) {
      const workload::StepSpec& spec = job.submission->steps[task.step.step];
      run.reserved = spec.Reserved();
      run.priority = job.submission->queue.priority;
      run.fills_idle_cpu = spec.fills_idle_cpu;
      run.tail_target_ms = spec.tail_target_ms;
    }
    workload::PoolWorker& worker = workers_[record.worker];
    if (worker.info.id.empty()) {
      worker.info.id = record.worker;
      worker.is_listed = false;
    }
    links_.try_emplace(record.worker);
    worker.Add(std::move(run));
  }

  void Tick() {
    const auto now = port_.Now();
    if (!CheckContact(now)) {
      return;
    }
    if (!is_resigning_ && now - last_beat_at_ >= workload::OwnerElection::kBeatInterval &&
        appender_->backlog() < kMaxBeatBacklog) {
      last_beat_at_ = now;
      Append(
          {workload::OwnerSet{{options_.epoch, options_.instance, workload::OwnerPhase::kActive}}},
          [] {});
    }
    advice_.Expire(now);
    ExpireLeases(now);
    DropOldJobs(now);
    PlanSoon();
    port_.After(kTick, Guard([this] { Tick(); }));
  }

  // Returns whether this owner may go on.
  bool CheckContact(workload::SteadyTime now) {
    std::size_t listed = 0;
    std::size_t reached = 0;
    for (const auto& [id, worker] : workers_) {
      const WorkerLink& link = links_[id];
      listed += worker.info.address.empty() ? 0 : 1;
      reached += now - link.answered_at <= workload::OwnerContact::kWindow ? 1 : 0;
    }
    if (!majority_at_ && listed > 0 && 2 * reached > listed) {
      majority_at_ = now;
    }
    const auto unconfirmed =
        std::chrono::duration_cast<workload::Milliseconds>(now - confirmed_at_);
    if (!workload::OwnerContact::MayGoOn(unconfirmed, reached, listed)) {
      Lose("the store has not confirmed the epoch");
      return false;
    }
    // Workers without runs are called too, to meet a new owner there.
    if (unconfirmed > workload::OwnerContact::kGrace) {
      CallIdle(now);
    }
    return true;
  }

  void CallIdle(workload::SteadyTime now) {
    std::vector<std::string> idle;
    for (const auto& [id, worker] : workers_) {
      const WorkerLink& link = links_[id];
      const bool is_called = link.is_polling || link.is_recording_ends;
      if (worker.runs.empty() && !is_called && !worker.info.address.empty() &&
          now - link.answered_at > kIdlePollInterval) {
        idle.push_back(id);
      }
    }
    for (const std::string& it : idle) {
      CallForLists(it, true);
    }
  }

  // --- Placement.

  void PlanSoon() {
    if (!is_plan_due_) {
      is_plan_due_ = true;
      port_.After(kPlanDelay, Guard([this] {
                    is_plan_due_ = false;
                    Plan();
                  }));
    }
  }

  void Plan() {
    if (is_resigning_) {
      return;
    }
    std::set<workload::TaskId> blocked;
    for (const auto& [id, worker] : workers_) {
      for (const auto& [run, placed] : worker.runs) {
        blocked.insert(run.task);
      }
    }
    const workload::PlanRequest request{jobs_,   workers_,    operators_.evacuated(), blocked,
                                        advice_, port_.Now(), port_.UnixNowMs()};
    workload::StartPlan plan = workload::PlanStarts(request);
    if (plan.question && !is_asking_) {
      Ask(*plan.question);
    }
    for (const workload::Preemption& it : plan.preemptions) {
      Preempt(it);
    }
    if (!plan.starts.empty()) {
      RecordStarts(std::move(plan.starts));
    }
  }

  void Preempt(const workload::Preemption& preemption) {
    logging::LogEvent(logging::LogLevel::kInfo, "run_preempted",
                      {{"task", codec::TaskName(preemption.run.task)},
                       {"run", preemption.run.run},
                       {"worker", preemption.worker},
                       {"for", codec::TaskName(preemption.beneficiary)}});
    OrderStop(preemption.worker, preemption.run);
    BreakGang(preemption.run);
  }

  void RecordStarts(std::vector<workload::PlannedStart> starts) {
    Records records;
    for (const workload::PlannedStart& it : starts) {
      LogFirstStart(it);
      const workload::TaskId& task = it.run.run.task;
      const workload::TaskRecord& last = jobs_.Find(task.step.job)->Task(task);
      workload::TaskRecord record{workload::TaskPhase::kPlaced, it.run.run.run, it.worker,
                                  last.failures, it.run.checkpoint};
      records.push_back(workload::TaskSet{task, std::move(record)});
      workers_[it.worker].Add(it.run);
    }
    Append(records, [this, starts = std::move(starts)] {
      for (const workload::PlannedStart& it : starts) {
        OrderRecordedStart(it);
      }
    });
  }

  void LogFirstStart(const workload::PlannedStart& start) {
    const workload::TaskId& task = start.run.run.task;
    const workload::JobEntry& job = *jobs_.Find(task.step.job);
    if (start.run.run.run > 1) {
      logging::LogEvent(logging::LogLevel::kInfo, "task_run_again",
                        {{"task", codec::TaskName(task)},
                         {"run", start.run.run.run},
                         {"worker", start.worker},
                         {"epoch", options_.epoch}});
    } else if (task.step.step == 0 && task.index == 0) {
      const std::int64_t due_at_ms = job.submission->DueAtMs(task.step.occurrence);
      logging::LogEvent(logging::LogLevel::kInfo, "job_started",
                        {{"job", task.step.job},
                         {"occurrence", task.step.occurrence},
                         {"worker", start.worker},
                         {"waited_ms", port_.UnixNowMs() - due_at_ms},
                         {"epoch", options_.epoch}});
    }
  }

  void OrderRecordedStart(const workload::PlannedStart& start) {
    workload::PlacedRun* run = FindRun(start.worker, start.run.run);
    if (run == nullptr || run->stage != workload::RunStage::kRecording) {
      return;
    }
    const workload::JobEntry* job = jobs_.Find(start.run.run.task.step.job);
    if (job == nullptr || !job->IsOpen()) {
      workers_[start.worker].Remove(start.run.run);
      return;
    }
    run->stage = workload::RunStage::kStarting;
    OrderStart(start);
  }

  void Ask(const workload::AdviceQuestion& question) {
    if (options_.advice_address.empty()) {
      return;
    }
    is_asking_ = true;
    advice_.NoteAsked(question.step, question.workers);
    port_.Call(options_.advice_address, Platform::AdviceRequest(question), kAdviceTimeout,
               Guard([this, question](const net::ClientResult& result) {
                 is_asking_ = false;
                 const auto approved = Platform::ParseAdvice(result, port_.Now());
                 if (approved) {
                   advice_.Add(question.step, *approved);
                 } else {
                   advice_.ForgetAsked(question.step, question.workers);
                 }
                 PlanSoon();
               }));
  }

  // --- Orders.

  workload::PlacedRun* FindRun(const std::string& worker, const workload::TaskRun& run) {
    const auto it = workers_.find(worker);
    if (it == workers_.end()) {
      return nullptr;
    }
    const auto placed = it->second.runs.find(run);
    return placed == it->second.runs.end() ? nullptr : &placed->second;
  }

  void OrderStart(const workload::PlannedStart& start) {
    WorkerLink& link = links_[start.worker];
    const auto lease_until = link.lease.Grant(options_.lease, port_.Now());
    if (!lease_until) {
      NotStarted(start.worker, start.run.run, "the worker's clock is not known");
      return;
    }
    const workload::JobEntry* job = jobs_.Find(start.run.run.task.step.job);
    StartOrder order{start.run.run,        job == nullptr ? "" : job->submission->payload,
                     *lease_until,         options_.epoch,
                     start.run.checkpoint, start.ticket};
    const workload::WorkerInfo& info = workers_[start.worker].info;
    port_.Call(info.address, Platform::StartRequest(order, info.id), kOrderTimeout,
               Guard([this, start](const net::ClientResult& result) {
                 OnStartAnswer(start, Platform::ParseOrder(result));
               }));
    Poll(start.worker);
  }

  void OnStartAnswer(const workload::PlannedStart& start, const OrderAnswer& answer) {
    NoteClock(start.worker, answer);
    if (answer.status == OrderStatus::kFenced) {
      Lose("a worker has seen a higher epoch");
      return;
    }
    workload::PlacedRun* run = FindRun(start.worker, start.run.run);
    if (run == nullptr || run->stage != workload::RunStage::kStarting) {
      return;
    }
    switch (answer.status) {
      case OrderStatus::kDone:
      case OrderStatus::kSuperseded:
        // A superseded run is in the list of ends, or else shows as missing.
        run->stage = workload::RunStage::kRunning;
        run->confirmed_at = port_.Now();
        break;
      case OrderStatus::kUnknown:
        run->may_start_late = true;
        Rest(start.worker, kRestAfterFailure);
        RetryStart(start);
        break;
      case OrderStatus::kUnreachable:
        Rest(start.worker, kRestAfterFailure);
        if (run->may_start_late) {
          RetryStart(start);
        } else {
          NotStarted(start.worker, start.run.run, "unreachable");
        }
        break;
      case OrderStatus::kTicketRefused:
        advice_.Reject(start.run.run.task.step, start.worker);
        [[fallthrough]];
      default:
        OnStartRefused(start, *run, answer.status);
        break;
    }
  }

  void OnStartRefused(const workload::PlannedStart& start, const workload::PlacedRun& run,
                      OrderStatus status) {
    if (status == OrderStatus::kRefused || status == OrderStatus::kNoRoom) {
      Rest(start.worker, kRestAfterFailure);
    }
    if (run.may_start_late) {
      // An earlier order may still arrive: the stop makes the worker refuse it.
      OrderStop(start.worker, start.run.run);
    } else {
      NotStarted(start.worker, start.run.run, "refused");
    }
  }

  void RetryStart(const workload::PlannedStart& start) {
    port_.After(kOrderRetryDelay, Guard([this, start] {
                  const workload::PlacedRun* run = FindRun(start.worker, start.run.run);
                  if (run == nullptr || run->stage != workload::RunStage::kStarting) {
                    return;
                  }
                  // An order grants a lease, which a silent worker must not get.
                  if (links_[start.worker].failures > 0) {
                    RetryStart(start);
                  } else {
                    OrderStart(start);
                  }
                }));
  }

  // The task waits again; its record is overwritten by the next start.
  void NotStarted(const std::string& worker, const workload::TaskRun& run,
                  std::string_view reason) {
    logging::LogEvent(logging::LogLevel::kInfo, "start_refused",
                      {{"task", codec::TaskName(run.task)},
                       {"run", run.run},
                       {"worker", worker},
                       {"reason", reason}});
    workers_[worker].Remove(run);
    BreakGang(run);
    PlanSoon();
  }

  void OrderStop(const std::string& worker, const workload::TaskRun& run) {
    workload::PlacedRun* placed = FindRun(worker, run);
    if (placed == nullptr || placed->stage == workload::RunStage::kStopping) {
      return;
    }
    if (placed->stage == workload::RunStage::kRecording) {
      workers_[worker].Remove(run);
      return;
    }
    placed->stage = workload::RunStage::kStopping;
    placed->confirmed_at = workload::SteadyTime::max();
    SendStop(worker, run);
  }

  void SendStop(const std::string& worker, const workload::TaskRun& run) {
    const workload::WorkerInfo& info = workers_[worker].info;
    if (info.address.empty()) {
      return;
    }
    port_.Call(info.address, Platform::StopRequest({run, options_.epoch}, info.id), kOrderTimeout,
               Guard([this, worker, run](const net::ClientResult& result) {
                 OnStopAnswer(worker, run, Platform::ParseOrder(result));
               }));
    Poll(worker);
  }

  void OnStopAnswer(const std::string& worker, const workload::TaskRun& run,
                    const OrderAnswer& answer) {
    NoteClock(worker, answer);
    if (answer.status == OrderStatus::kFenced) {
      Lose("a worker has seen a higher epoch");
      return;
    }
    workload::PlacedRun* placed = FindRun(worker, run);
    if (placed == nullptr) {
      return;
    }
    if (answer.status == OrderStatus::kDone || answer.status == OrderStatus::kSuperseded) {
      placed->confirmed_at = port_.Now();
      Poll(worker);
      return;
    }
    port_.After(kOrderRetryDelay, Guard([this, worker, run] {
                  if (FindRun(worker, run) != nullptr) {
                    SendStop(worker, run);
                  }
                }));
  }

  void NoteClock(const std::string& worker, const OrderAnswer& answer) {
    if (answer.clock_ms) {
      links_[worker].lease.OnClock(*answer.clock_ms, port_.Now());
    }
  }

  // No new runs for a while.
  void Rest(const std::string& worker, workload::Milliseconds time) {
    workload::PoolWorker& it = workers_[worker];
    it.usable_from = std::max(it.usable_from, port_.Now() + time);
  }

  // --- Lists and leases.

  void Poll(const std::string& id) {
    WorkerLink& link = links_[id];
    const auto it = workers_.find(id);
    if (it == workers_.end() || link.is_polling || link.is_recording_ends ||
        it->second.info.address.empty()) {
      return;
    }
    const bool is_idle = it->second.is_attached && it->second.runs.empty();
    const bool has_ends_to_acknowledge = link.acknowledged_end > last_sent_ack_[id];
    if (is_idle && !has_ends_to_acknowledge) {
      return;
    }
    CallForLists(id, is_idle);
  }

  // Calls a worker for its lists, whatever runs there. Precondition: no such call is on its way.
  void CallForLists(const std::string& id, bool is_idle) {
    WorkerLink& link = links_[id];
    link.is_polling = true;
    RenewOrder order;
    order.fencing_token = options_.epoch;
    order.acknowledged_end = link.acknowledged_end;
    // A worker that does not answer gets no longer lease, so that its runs surely end some time.
    if (link.failures == 0) {
      order.lease_until_ms = link.lease.Grant(options_.lease, port_.Now());
    }
    order.wait_ms = order.lease_until_ms && !is_idle ? kPollWait.count() : 0;
    const auto sent_at = port_.Now();
    const workload::WorkerInfo& info = workers_[id].info;
    port_.Call(info.address, Platform::RenewRequest(order, info.id), PollTimeout(order),
               Guard([this, id, sent_at, ack = order.acknowledged_end](
                         const net::ClientResult& result) { OnLists(id, sent_at, ack, result); }));
  }

  static workload::Milliseconds PollTimeout(const RenewOrder& order) {
    return workload::Milliseconds(order.wait_ms) + kPollSlack;
  }

  void OnLists(const std::string& id, workload::SteadyTime sent_at, std::uint64_t ack,
               const net::ClientResult& result) {
    WorkerLink& link = links_[id];
    link.is_polling = false;
    const auto it = workers_.find(id);
    if (it == workers_.end()) {
      return;
    }
    const OrderAnswer answer = Platform::ParseOrder(result);
    if (answer.status == OrderStatus::kFenced) {
      Lose("a worker has seen a higher epoch");
      return;
    }
    const auto lists = Platform::ParseLists(result);
    if (answer.status == OrderStatus::kOtherLife) {
      LoseRuns(id, "another life of the worker answered");
      it->second.is_attached = false;
    }
    if (!lists) {
      OnPollFailed(id);
      return;
    }
    link.failures = 0;
    link.answered_at = port_.Now();
    last_sent_ack_[id] = std::max(last_sent_ack_[id], ack);
    link.lease.OnClock(lists->clock_ms, port_.Now());
    const std::int64_t born = lists->born_at_ms.value_or(it->second.info.born_at_ms);
    if (link.born_at_ms != 0 && born != 0 && born != link.born_at_ms) {
      BeginLife(id, born);
    }
    link.born_at_ms = born;
    if (!it->second.is_attached) {
      it->second.is_attached = true;
      logging::LogEvent(logging::LogLevel::kInfo, "worker_attached",
                        {{"worker", id},
                         {"epoch", options_.epoch},
                         {"running", lists->running.size()},
                         {"ended", lists->ended.size()}});
      PlanSoon();
    }
    TakeLists(id, *lists, sent_at);
  }

  void OnPollFailed(const std::string& id) {
    WorkerLink& link = links_[id];
    if (link.failures++ == 0) {
      logging::LogEvent(logging::LogLevel::kWarning, "worker_silent",
                        {{"worker", id}, {"runs", workers_[id].runs.size()}});
    }
    Rest(id, kRestAfterFailure);
    const bool is_urgent = !workers_[id].runs.empty() && link.failures < kUrgentPolls;
    port_.After(is_urgent ? kPollRetryDelay : kIdlePollRetryDelay, Guard([this, id] { Poll(id); }));
  }

  // All that an earlier life of the worker ran is gone with it.
  void BeginLife(const std::string& id, std::int64_t born_at_ms) {
    LoseRuns(id, "the worker started anew");
    WorkerLink& link = links_[id];
    link.lease.Reset();
    link.acknowledged_end = 0;
    last_sent_ack_[id] = 0;
    link.born_at_ms = born_at_ms;
    workers_[id].is_attached = false;
  }

  void TakeLists(const std::string& id, const WorkerLists& lists, workload::SteadyTime sent_at) {
    Records records;
    std::set<workload::TaskRun> listed;
    for (const RunningItem& it : lists.running) {
      listed.insert(it.run);
      TakeRunning(id, it);
    }
    WorkerLink& link = links_[id];
    std::uint64_t last_end = link.acknowledged_end;
    for (const EndedItem& it : lists.ended) {
      if (it.number > link.acknowledged_end) {
        last_end = std::max(last_end, it.number);
        listed.insert(it.run);
        TakeEnd(id, it.run, it.reason, it.checkpoint, records);
      }
    }
    TakeMissing(id, listed, sent_at, records);
    if (records.empty() && last_end == link.acknowledged_end) {
      Poll(id);
      return;
    }
    link.is_recording_ends = true;
    Append(records, [this, id, last_end] {
      WorkerLink& stored = links_[id];
      stored.is_recording_ends = false;
      stored.acknowledged_end = std::max(stored.acknowledged_end, last_end);
      Poll(id);
    });
    PlanSoon();
  }

  void TakeRunning(const std::string& id, const RunningItem& item) {
    workload::PlacedRun* run = FindRun(id, item.run);
    if (run == nullptr) {
      // Nothing that is recorded: a late order of the past.
      logging::LogEvent(logging::LogLevel::kWarning, "unknown_run_stopped",
                        {{"task", codec::TaskName(item.run.task)}, {"worker", id}});
      const workload::WorkerInfo& info = workers_[id].info;
      port_.Call(info.address, Platform::StopRequest({item.run, options_.epoch}, info.id),
                 kOrderTimeout, [](const net::ClientResult&) {});
      return;
    }
    if (!item.checkpoint.empty()) {
      run->checkpoint = item.checkpoint;
    }
    NoteProgress(id, *run, item.percent);
    if (run->stage == workload::RunStage::kStarting) {
      run->stage = workload::RunStage::kRunning;
      run->confirmed_at = port_.Now();
      const workload::JobEntry* job = jobs_.Find(item.run.task.step.job);
      if (job == nullptr || !job->IsOpen()) {
        OrderStop(id, item.run);
      }
    }
  }

  // Moves a run that stands still, and rests its worker.
  void NoteProgress(const std::string& id, workload::PlacedRun& run, std::uint32_t percent) {
    const auto now = port_.Now();
    if (percent != run.progress_percent || run.progressed_at == workload::SteadyTime()) {
      run.progress_percent = percent;
      run.progressed_at = now;
      return;
    }
    const workload::JobEntry* job = jobs_.Find(run.run.task.step.job);
    if (run.stage != workload::RunStage::kRunning || job == nullptr || !job->IsOpen()) {
      return;
    }
    const workload::StepSpec& spec = job->submission->steps[run.run.task.step.step];
    if (workload::HasStalled(spec, run, now)) {
      logging::LogEvent(logging::LogLevel::kWarning, "run_stalled",
                        {{"task", codec::TaskName(run.run.task)},
                         {"run", run.run.run},
                         {"worker", id},
                         {"percent", percent}});
      Rest(id, kLongRestAfterFailure);
      OrderStop(id, run.run);
      BreakGang(run.run);
    }
  }

  // Runs that the worker must know of and does not list.
  void TakeMissing(const std::string& id, const std::set<workload::TaskRun>& listed,
                   workload::SteadyTime sent_at, Records& records) {
    std::vector<workload::PlacedRun> missing;
    for (const auto& [run, placed] : workers_[id].runs) {
      const bool is_confirmed = (placed.stage == workload::RunStage::kRunning ||
                                 placed.stage == workload::RunStage::kStopping) &&
                                placed.confirmed_at < sent_at;
      const bool is_refused_by_token =
          placed.stage == workload::RunStage::kStarting && placed.is_adopted;
      if (!listed.contains(run) && (is_confirmed || is_refused_by_token)) {
        missing.push_back(placed);
      }
    }
    for (const workload::PlacedRun& it : missing) {
      TakeEnd(id, it.run, workload::EndReason::kLapsed, it.checkpoint, records);
    }
  }

  void ExpireLeases(workload::SteadyTime now) {
    const auto adopted_leases_end =
        workload::OwnerContact::EarlierOwnersEndedAt(took_over_at_, majority_at_) + options_.lease +
        kAdoptedSlack;
    std::vector<std::string> expired;
    for (const auto& [id, worker] : workers_) {
      const auto ended_at = links_[id].lease.SurelyEndedAt();
      const bool is_over = ended_at ? now > *ended_at : now > adopted_leases_end;
      if (is_over && !worker.runs.empty()) {
        expired.push_back(id);
      }
    }
    for (const std::string& it : expired) {
      LoseRuns(it, "the lease has ended");
    }
  }

  // Ends all runs of a worker whose lease or life is over.
  void LoseRuns(const std::string& id, std::string_view reason) {
    workload::PoolWorker& worker = workers_[id];
    std::vector<workload::PlacedRun> lost;
    for (const auto& [run, placed] : worker.runs) {
      if (placed.stage != workload::RunStage::kRecording) {
        lost.push_back(placed);
      }
    }
    if (lost.empty()) {
      return;
    }
    logging::LogEvent(logging::LogLevel::kWarning, "runs_lost",
                      {{"worker", id}, {"runs", lost.size()}, {"reason", reason}});
    Records records;
    for (const workload::PlacedRun& it : lost) {
      TakeEnd(id, it.run, workload::EndReason::kLapsed, it.checkpoint, records);
    }
    Append(records, [] {});
    if (!worker.is_listed) {
      DropWorker(id);
    }
    PlanSoon();
  }

  void DropWorker(const std::string& id) {
    workers_.erase(id);
    links_.erase(id);
    last_sent_ack_.erase(id);
  }

  // --- Ends.

  void TakeEnd(const std::string& worker, const workload::TaskRun& run, workload::EndReason reason,
               const std::string& checkpoint, Records& records) {
    if (reason != workload::EndReason::kDone) {
      logging::LogEvent(logging::LogLevel::kInfo, "run_ended",
                        {{"task", codec::TaskName(run.task)},
                         {"run", run.run},
                         {"worker", worker},
                         {"reason", static_cast<int>(reason)},
                         {"checkpoint", checkpoint}});
    }
    workers_[worker].Remove(run);
    NoteWorkerHealth(worker, run, reason);
    const workload::RunOutcome outcome =
        workload::OutcomeOf(jobs_, worker, run, reason, checkpoint);
    for (const workload::WorkloadRecord& it : outcome.records) {
      // Later ends of the same list build on this one.
      jobs_.Apply(it);
      records.push_back(it);
    }
    if (outcome.breaks_gang) {
      BreakGang(run);
    }
    if (outcome.ended_job) {
      OnJobEnded(run.task.step.job, *outcome.ended_job);
    }
  }

  void OnJobEnded(const std::string& job, workload::JobState state) {
    logging::LogEvent(
        logging::LogLevel::kInfo, "job_ended",
        {{"job", job}, {"state", static_cast<int>(state)}, {"epoch", options_.epoch}});
    StopRunsOf(job);
  }

  void NoteWorkerHealth(const std::string& id, const workload::TaskRun& run,
                        workload::EndReason reason) {
    workload::PoolWorker& worker = workers_[id];
    if (reason == workload::EndReason::kDone) {
      worker.failures_in_row = 0;
      return;
    }
    if (reason != workload::EndReason::kFailed) {
      return;
    }
    std::string& last_job = last_failed_job_[id];
    if (last_job == run.task.step.job) {
      return;
    }
    last_job = run.task.step.job;
    ++worker.failures_in_row;
    Rest(id, worker.failures_in_row > 1 ? kLongRestAfterFailure : kRestAfterFailure);
  }

  // Stops the other members of a gang whose run cannot go on.
  void BreakGang(const workload::TaskRun& run) {
    const workload::JobEntry* job = jobs_.Find(run.task.step.job);
    const bool is_gang = job != nullptr && job->submission &&
                         run.task.step.step < job->submission->steps.size() &&
                         job->submission->steps[run.task.step.step].is_gang;
    if (!is_gang) {
      return;
    }
    StopRunsWhere([&run](const workload::TaskRun& it) {
      return it.task.step == run.task.step && it.run == run.run;
    });
  }

  void StopRunsOf(const std::string& job) {
    StopRunsWhere([&job](const workload::TaskRun& it) { return it.task.step.job == job; });
  }

  template <class Predicate>
  void StopRunsWhere(Predicate matches) {
    std::vector<std::pair<std::string, workload::TaskRun>> found;
    for (const auto& [id, worker] : workers_) {
      for (const auto& [run, placed] : worker.runs) {
        if (matches(run)) {
          found.emplace_back(id, run);
        }
      }
    }
    for (const auto& [worker, run] : found) {
      OrderStop(worker, run);
    }
  }

  void StopCancelled() {
    for (const auto& [id, job] : jobs_.jobs()) {
      if (job.is_cancelled && stopped_jobs_.insert(id).second) {
        StopRunsOf(id);
      }
    }
  }

  void DropOldJobs(workload::SteadyTime now) {
    for (const auto& [id, job] : jobs_.jobs()) {
      if (job.end || job.is_cancelled) {
        ended_since_.try_emplace(id, now);
      }
    }
    Records records;
    for (auto it = ended_since_.begin(); it != ended_since_.end();) {
      if (now - it->second <= options_.retention + kRetentionSlack) {
        ++it;
        continue;
      }
      records.push_back(workload::SubmissionSet{it->first, std::nullopt});
      records.push_back(workload::CancellationSet{it->first, false});
      records.push_back(workload::JobEndSet{it->first, std::nullopt});
      stopped_jobs_.erase(it->first);
      it = ended_since_.erase(it);
    }
    if (!records.empty()) {
      Append(records, [] {});
    }
  }

  static constexpr std::size_t kMaxBeatBacklog = 64;
  static constexpr std::uint32_t kUrgentPolls = 30;
  static constexpr workload::Milliseconds kAdviceTimeout{2'000};
  // For orders of the earlier owner that were on their way, and for a slow worker clock.
  static constexpr workload::Milliseconds kAdoptedSlack{700};
  static constexpr workload::Milliseconds kIdlePollInterval{1'000};
  static constexpr workload::Milliseconds kRetentionSlack{30'000};

  Port& port_;
  workload::JobTable& jobs_;
  const OperatorView& operators_;
  std::unique_ptr<Appender<Platform, Port>> appender_;
  const OwnerOptions options_;
  const std::function<void()> on_lost_;
  const workload::SteadyTime took_over_at_;
  // Last acknowledged append.
  workload::SteadyTime confirmed_at_;
  workload::SteadyTime last_beat_at_;
  workload::WorkerPool workers_;
  std::map<std::string, WorkerLink> links_;
  std::map<std::string, std::uint64_t> last_sent_ack_;
  std::map<std::string, std::string> last_failed_job_;
  workload::AdviceBook advice_;
  std::set<std::string> stopped_jobs_;
  std::map<std::string, workload::SteadyTime> ended_since_;
  // When more than half of the workers had answered.
  std::optional<workload::SteadyTime> majority_at_;
  bool is_plan_due_ = false;
  bool is_asking_ = false;
  bool is_resigning_ = false;
  bool is_lost_ = false;
  LifeGuard life_;
};

}  // namespace clementineloom::entry
