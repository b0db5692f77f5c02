#include "standin/standin_worker.h"

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace clementineloom::standin {
namespace {

namespace json = boost::json;

net::HttpResponse Json(int status, const json::object& body) {
  return {status, {}, json::serialize(body)};
}

constexpr const char* kPollTarget = "/hold";
constexpr std::int64_t kFullPercent = 100;
constexpr std::size_t kMaxEndsPerAnswer = 500;
// Longer leases are shortened to this.
constexpr std::int64_t kMaxLeaseMs = 10'000;

// Step and run; a task's name ends with its index.
std::string GangOf(const std::string& task, std::uint64_t run) {
  return task.substr(0, task.rfind('.')) + " run " + std::to_string(run);
}

std::uint64_t Unsigned(const json::object& body, const char* name) {
  return body.contains(name) ? body.at(name).to_number<std::uint64_t>() : 0;
}

}  // namespace

StandInWorker::StandInWorker(SimWorld& world, std::string id, std::string address,
                             workload::Milliseconds run_time)
    : world_(world),
      id_(std::move(id)),
      address_(std::move(address)),
      run_time_(run_time),
      started_at_ms_(world.ElapsedMs()) {
  world_.Serve(address_, [this](const net::HttpRequest& request, SimWorld::Reply reply) {
    Handle(request, std::move(reply));
  });
}

std::string StandInWorker::Entry(const std::string& state, std::int64_t remaining_ms) const {
  return json::serialize(
      json::object{{"service", "inspect"},
                   {"address", advertised_address_.empty() ? address_ : advertised_address_},
                   {"zone", "kolka"},
                   {"state", state},
                   {"remainingMs", remaining_ms},
                   {"labels", json::array(labels_.begin(), labels_.end())},
                   {"born", started_at_ms_ + 1},
                   {"capacity", json::object{{"cpu", capacity_.cpu_millicores},
                                             {"memMb", capacity_.memory_mb},
                                             {"gpus", capacity_.accelerators}}}});
}

void StandInWorker::Restart() {
  for (const End& it : ended_) {
    Report(RunEventKind::kForgotten, it.task, it.run);
  }
  for (const auto& [task, run] : std::exchange(running_, {})) {
    Report(RunEventKind::kForgotten, task, run.run);
    if (gangs_ != nullptr) {
      gangs_->Leave(GangOf(task, run.run), task, "crashed");
    }
  }
  profiles_.clear();
  is_down_ = false;
  // Pending calls fail together with the process.
  waiters_.clear();
  ended_.clear();
  highest_ended_.clear();
  highest_token_ = 0;
  last_end_ = 0;
  last_listed_end_ = 0;
  acknowledged_ = 0;
  lease_until_ms_ = 0;
  started_at_ms_ = world_.ElapsedMs();
}

void StandInWorker::Handle(const net::HttpRequest& request, SimWorld::Reply reply) {
  if (ignores_orders_ && request.target != kPollTarget) {
    return;
  }
  const auto delay = answer_delays_.find(request.target);
  if (delay != answer_delays_.end()) {
    reply = [this, delay = delay->second, reply = std::move(reply)](net::HttpResponse response) {
      world_.After(delay, [reply, response = std::move(response)] { reply(response); });
    };
  }
  if (request.headers.Find("X-Clementineloom-Target-Instance") != id_) {
    reply(Json(421, {}));
  } else if (request.target == "/run-start" && start_delay_.count() > 0) {
    // The order is carried out by whichever incarnation is there then, without an answer.
    world_.After(start_delay_, [this, request] {
      if (is_down_) {
        return;
      }
      is_late_ = true;
      (void)Start(request);
      is_late_ = false;
    });
  } else if (request.target == "/run-start") {
    reply(Start(request));
  } else if (request.target == "/run-stop") {
    reply(Stop(request));
  } else if (request.target == "/pace") {
    reply(Pace(request));
  } else {
    Poll(request, std::move(reply));
  }
}

bool StandInWorker::IsFenced(std::uint64_t token) {
  const bool is_fenced = token < highest_token_;
  highest_token_ = std::max(highest_token_, token);
  return is_fenced;
}

void StandInWorker::ExtendLease(std::int64_t until_ms) {
  until_ms = std::min(until_ms, ClockMs() + kMaxLeaseMs);
  if (until_ms <= lease_until_ms_) {
    return;
  }
  lease_until_ms_ = until_ms;
  world_.After(workload::Milliseconds(until_ms - ClockMs() + 1), [this] { ExpireLease(); });
}

void StandInWorker::ExpireLease() {
  if (ClockMs() <= lease_until_ms_) {
    return;
  }
  for (End& it : ended_) {
    it.has_lapsed = true;
  }
  const auto expired = running_;
  for (const auto& [task, run] : expired) {
    Finish(task, run.run, "lapsed");
  }
}

net::HttpResponse StandInWorker::Start(const net::HttpRequest& request) {
  const json::object body = json::parse(request.body).as_object();
  const std::string task(body.at("task").as_string());
  const std::uint64_t run = Unsigned(body, "runId");
  if (IsFenced(Unsigned(body, "fencingToken"))) {
    return Json(409, {{"clockMs", ClockMs()}, {"reason", "fence"}});
  }
  const std::int64_t until = body.at("deadlineMs").to_number<std::int64_t>();
  if (until <= ClockMs()) {
    return Json(409, {{"clockMs", ClockMs()}, {"reason", "late"}});
  }
  ExtendLease(until);
  const auto known = running_.find(task);
  if (known != running_.end() && known->second.run == run) {
    return Json(200, {{"clockMs", ClockMs()}});
  }
  if (known != running_.end() || run <= highest_ended_[task]) {
    return Json(409, {{"clockMs", ClockMs()}, {"reason", "old"}});
  }
  const std::string ticket(body.contains("ticket") ? body.at("ticket").as_string() : "");
  if (accepts_ticket_ && !accepts_ticket_(task, ticket, started_at_ms_)) {
    ++refused_tickets_;
    return Json(409, {{"clockMs", ClockMs()}, {"reason", "ticket"}});
  }
  StandInRun started{run, std::string(body.at("spec").as_string()), world_.ElapsedMs()};
  const RunProfile profile =
      profile_of_ ? profile_of_(task, started.payload) : RunProfile{run_time_};
  if (LacksRoom(profile.resources)) {
    return Json(409, {{"clockMs", ClockMs()}, {"reason", "room"}});
  }
  if (body.contains("checkpoint")) {
    started.resumed_percent = std::stoll(std::string(body.at("checkpoint").as_string()));
  }
  const auto remaining_time =
      profile.run_time * (kFullPercent - started.resumed_percent) / kFullPercent;
  running_[task] = std::move(started);
  profiles_[task] = profile;
  ++starts_[task];
  Report(RunEventKind::kStarted, task, run);
  if (gangs_ != nullptr && profile.gang_size > 0) {
    EnterGang(task, run, profile);
  } else {
    BeginWork(task, run, remaining_time);
  }
  return Json(200, {{"clockMs", ClockMs()}});
}

bool StandInWorker::LacksRoom(const workload::Resources& needed) const {
  workload::Resources used = needed;
  for (const auto& [task, profile] : profiles_) {
    used = used + profile.resources;
  }
  return enforces_capacity_ && !used.FitsIn(capacity_);
}

void StandInWorker::BeginWork(const std::string& task, std::uint64_t run,
                              workload::Milliseconds time) {
  world_.After(time, [this, task, run, incarnation_start_ms = started_at_ms_] {
    if (incarnation_start_ms != started_at_ms_) {
      return;
    }
    const auto profile = profiles_.find(task);
    const bool fails = profile != profiles_.end() && run <= profile->second.failing_runs;
    const std::string usual_end = fails ? "failed" : "done";
    Finish(task, run, forced_end_.empty() ? usual_end : forced_end_);
  });
}

void StandInWorker::EnterGang(const std::string& task, std::uint64_t run,
                              const RunProfile& profile) {
  const auto in_this_life = [this, life = started_at_ms_] { return life == started_at_ms_; };
  gangs_->Enter(GangOf(task, run), profile.gang_size, task,
                {[this, in_this_life, task, run, time = profile.run_time] {
                   if (in_this_life()) {
                     BeginWork(task, run, time);
                   }
                 },
                 [this, in_this_life, task, run](const std::string& how) {
                   if (in_this_life()) {
                     Finish(task, run, how);
                   }
                 }});
}

void StandInWorker::Report(RunEventKind kind, const std::string& task, std::uint64_t run,
                           const std::string& how, bool has_lapsed) const {
  if (observer_) {
    const auto profile = profiles_.find(task);
    const bool is_gang = profile != profiles_.end() && profile->second.gang_size > 0;
    observer_({kind, id_, task, run, how, world_.ElapsedMs(), is_late_, is_gang, has_lapsed});
  }
}

net::HttpResponse StandInWorker::Stop(const net::HttpRequest& request) {
  const json::object body = json::parse(request.body).as_object();
  const std::string task(body.at("task").as_string());
  const std::uint64_t run = Unsigned(body, "runId");
  if (IsFenced(Unsigned(body, "fencingToken"))) {
    return Json(409, {{"clockMs", ClockMs()}, {"reason", "fence"}});
  }
  highest_ended_[task] = std::max(highest_ended_[task], run);
  constexpr workload::Milliseconds kStopTime{100};
  world_.After(kStopTime, [this, task, run] { Finish(task, run, "stopped"); });
  return Json(200, {{"clockMs", ClockMs()}});
}

net::HttpResponse StandInWorker::Pace(const net::HttpRequest& request) {
  const json::object body = json::parse(request.body).as_object();
  if (IsFenced(Unsigned(body, "fencingToken"))) {
    return Json(409, {{"clockMs", ClockMs()}, {"reason", "fence"}});
  }
  const auto it = running_.find(std::string(body.at("task").as_string()));
  if (it == running_.end() || it->second.run != Unsigned(body, "runId")) {
    return Json(409, {{"clockMs", ClockMs()}, {"reason", "old"}});
  }
  it->second.pace_percent = body.at("percent").to_number<std::int64_t>();
  return Json(200, {{"clockMs", ClockMs()}});
}

std::int64_t StandInWorker::ReportedTailMs(const std::string& task) const {
  const auto tail = tails_.find(task);
  if (tail == tails_.end()) {
    return 0;
  }
  std::int64_t highest_pace = 0;
  for (const auto& [other, run] : running_) {
    if (!tails_.contains(other)) {
      highest_pace = std::max(highest_pace, run.pace_percent);
    }
  }
  return tail->second.alone_ms + tail->second.disturbance_ms * highest_pace / kFullPercent;
}

void StandInWorker::Poll(const net::HttpRequest& request, SimWorld::Reply reply) {
  const json::object body = json::parse(request.body).as_object();
  if (IsFenced(Unsigned(body, "fencingToken"))) {
    reply(Json(409, {{"clockMs", ClockMs()}, {"reason", "fence"}}));
    return;
  }
  if (body.contains("deadlineMs")) {
    ExtendLease(body.at("deadlineMs").to_number<std::int64_t>());
  }
  DropAcknowledged(Unsigned(body, "ackPosition"));
  const std::uint64_t wait_ms = Unsigned(body, "waitMs");
  if (!ended_.empty() || wait_ms == 0) {
    reply(RunLists());
    return;
  }
  auto waiter = std::make_shared<Waiter>(Waiter{std::move(reply)});
  waiters_.push_back(waiter);
  world_.After(workload::Milliseconds(wait_ms), [this, waiter] {
    if (!std::exchange(waiter->is_answered, true)) {
      waiter->reply(RunLists());
    }
  });
}

void StandInWorker::DropAcknowledged(std::uint64_t acknowledged) {
  unlisted_acknowledgements_ += acknowledged > last_listed_end_ ? 1 : 0;
  acknowledged_ = std::max(acknowledged_, acknowledged);
  for (const End& it : ended_) {
    if (it.number <= acknowledged_) {
      Report(RunEventKind::kAcknowledged, it.task, it.run, it.how, it.has_lapsed);
    }
  }
  std::erase_if(ended_, [this](const End& it) { return it.number <= acknowledged_; });
}

void StandInWorker::Finish(const std::string& task, std::uint64_t run, const std::string& how) {
  const auto it = running_.find(task);
  if (it == running_.end() || it->second.run != run) {
    return;
  }
  const std::string saved = CheckpointOf(it->second);
  running_.erase(it);
  Report(RunEventKind::kEnded, task, run, how);
  profiles_.erase(task);
  highest_ended_[task] = std::max(highest_ended_[task], run);
  ended_.push_back({++last_end_, task, run, how, saved});
  for (const auto& waiter : std::exchange(waiters_, {})) {
    if (!std::exchange(waiter->is_answered, true)) {
      waiter->reply(RunLists());
    }
  }
  if (gangs_ != nullptr) {
    gangs_->Leave(GangOf(task, run), task, how);
  }
}

std::int64_t StandInWorker::PercentOf(const StandInRun& run) const {
  const std::int64_t worked =
      (world_.ElapsedMs() - run.started_at_ms) * kFullPercent / run_time_.count();
  return std::min(kFullPercent, run.resumed_percent + worked);
}

std::string StandInWorker::CheckpointOf(const StandInRun& run) const {
  return saves_checkpoints_ ? std::to_string(PercentOf(run)) : std::string();
}

net::HttpResponse StandInWorker::RunLists() {
  json::array running;
  for (const auto& [task, run] : running_) {
    running.push_back(
        json::array{task, run.run, CheckpointOf(run), PercentOf(run), ReportedTailMs(task)});
  }
  json::array ended;
  for (const End& it : ended_) {
    if (ended.size() == kMaxEndsPerAnswer) {
      break;
    }
    last_listed_end_ = it.number;
    ended.push_back(json::array{it.number, it.task, it.run, it.how, it.saved});
  }
  return Json(200, {{"clockMs", ClockMs()},
                    {"born", started_at_ms_ + 1},
                    {"running", std::move(running)},
                    {"ended", std::move(ended)}});
}

}  // namespace clementineloom::standin
