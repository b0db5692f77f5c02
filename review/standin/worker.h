#pragma once

#include <algorithm>
#include <boost/json.hpp>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <set>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

#include "http.h"
#include "record.h"
#include "store.h"

namespace review {

// The members of gangs that are present, by step and run, over all workers.
class Gangs {
 public:
  void Enter(const std::string& gang, const std::string& task) {
    const std::scoped_lock lock(mutex_);
    if (done_.erase(gang) > 0) {
      // A member that starts after the end finds none of the others.
      present_[gang].clear();
    }
    present_[gang].insert(task);
  }
  // A member has ended otherwise than done.
  void Break(const std::string& gang) {
    const std::scoped_lock lock(mutex_);
    broken_.emplace(gang, SteadyMs());
  }
  bool IsWhole(const std::string& gang, std::size_t size) {
    const std::scoped_lock lock(mutex_);
    return present_[gang].size() >= size;
  }
  // All members end done at the same time.
  void Complete(const std::string& gang) {
    const std::scoped_lock lock(mutex_);
    done_.insert(gang);
  }
  bool IsDone(const std::string& gang) {
    const std::scoped_lock lock(mutex_);
    return done_.contains(gang);
  }
  // Other workers learn of a member's end after a moment.
  bool IsBroken(const std::string& gang) {
    constexpr std::int64_t kNewsMs = 150;
    const std::scoped_lock lock(mutex_);
    const auto it = broken_.find(gang);
    return it != broken_.end() && SteadyMs() >= it->second + kNewsMs;
  }

 private:
  std::mutex mutex_;
  std::map<std::string, std::set<std::string>> present_;
  std::map<std::string, std::int64_t> broken_;
  std::set<std::string> done_;
};

// What a worker says of itself, and the longest lease that it grants.
struct WorkerFacts {
  std::string id;
  std::string service;
  std::string zone;
  std::string kind;
  std::string rack;
  std::int64_t cpu = 0;
  std::int64_t memory_mb = 0;
  std::int64_t max_hold_ms = 0;
};

// A worker of the platform, as PROTOCOL.md describes it. The text of a job's spec tells how its
// tasks behave: "work MS" for all, "gang SIZE" if step 0 is a gang, "then MS" for later steps.
class Worker {
 public:
  Worker(WorkerFacts facts, Store& store, Gangs& gangs, Record& record)
      : facts_(std::move(facts)),
        id_(facts_.id),
        store_(store),
        gangs_(gangs),
        record_(record),
        born_(UnixMs()),
        began_at_(SteadyMs()),
        server_([this](const Request& it) { return Handle(it); }) {
    std::thread([this] { Work(); }).detach();
  }

  [[nodiscard]] const std::string& id() const { return id_; }

  // All that runs or starts here fails while this is set; polls are answered.
  void SetFailing(bool is_failing) { is_failing_ = is_failing; }

  // Takes the power from the worker for good: nothing is answered any more, and it writes no
  // entries.
  void LosePower() {
    const std::scoped_lock lock(mutex_);
    is_dark_ = true;
    runs_.clear();
    record_.Line(id_ + " loses its power for good");
    changed_.notify_all();
  }

  // What it sends is lost while this is set; what is sent to it arrives.
  void SetMute(bool is_mute) {
    is_mute_ = is_mute;
    record_.Line(id_ + (is_mute ? " is cut off: its answers are lost" : " is no longer cut off"));
  }

  // Leaves the next order to start without an answer and carries it out after a delay, whichever
  // incarnation is there then.
  void CarryOutNextStartLate(std::int64_t delay_ms) { late_start_ms_ = delay_ms; }

  // Crashes, stays without power for a time, and starts again under its id and at its address, as a
  // new incarnation of the given kind.
  void Crash(std::int64_t dark_ms, const std::string& kind) {
    {
      const std::scoped_lock lock(mutex_);
      is_away_ = true;
      runs_.clear();
      record_.Line(id_ + " of kind " + facts_.kind + " crashes");
      changed_.notify_all();
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(dark_ms));
    const std::scoped_lock lock(mutex_);
    over_.clear();
    ends_.clear();
    last_end_ = 0;
    token_ = 0;
    lease_until_ = 0;
    sequence_ = 0;
    born_ = UnixMs();
    began_at_ = SteadyMs();
    facts_.kind = kind;
    is_away_ = false;
    next_beat_ = 0;
    record_.Line(id_ + " starts again as kind " + kind);
  }

  // The starts that it has carried out as a worker of a kind.
  int StartsAs(const std::string& kind) {
    const std::scoped_lock lock(mutex_);
    return starts_as_[kind];
  }

  // How many starts it has carried out.
  int starts() {
    const std::scoped_lock lock(mutex_);
    return starts_;
  }

 private:
  struct Run {
    std::uint64_t number = 0;
    std::int64_t work_ms = 0;
    std::size_t gang_size = 0;
    std::string gang;
    std::int64_t arrived_at = 0;
    std::int64_t works_from = 0;
    std::int64_t stops_at = 0;
  };
  struct End {
    std::uint64_t number = 0;
    std::string task;
    std::uint64_t run = 0;
    std::string how;
  };

  static constexpr std::int64_t kBeatMs = 1'500;
  static constexpr std::int64_t kStopMs = 100;
  static constexpr std::int64_t kFailMs = 50;
  static constexpr std::int64_t kGangTimeoutMs = 3'000;

  [[nodiscard]] std::int64_t ClockMs() const { return SteadyMs() - began_at_; }

  void Beat() {
    ++sequence_;
    const json::object entry{
        {"service", facts_.service},
        {"address", server_.address()},
        {"zone", facts_.zone},
        {"version", "v1"},
        {"slots", 8},
        {"state", "ready"},
        {"coldRemainingMs", 0},
        {"capacity", json::object{{"cpu", facts_.cpu}, {"memMb", facts_.memory_mb}, {"gpus", 8}}},
        {"labels", json::array{facts_.kind, facts_.rack}},
        {"born", born_},
        {"clockMs", ClockMs()},
        {"sequence", sequence_}};
    store_.Put("keyed.servers", id_, json::serialize(entry));
  }

  // Lets time pass for the runs, and writes the entry.
  void Work() {
    while (true) {
      if (is_dark_) {
        // Its entry goes after three heartbeats of silence.
        std::this_thread::sleep_for(std::chrono::milliseconds(3 * kBeatMs));
        store_.Put("keyed.servers", id_, "");
        record_.Line(id_ + " has no entry any more");
        return;
      }
      if (!is_away_) {
        const std::scoped_lock lock(mutex_);
        if (SteadyMs() >= next_beat_ && !is_mute_) {
          next_beat_ = SteadyMs() + kBeatMs;
          Beat();
        }
        const auto runs = runs_;
        for (const auto& [task, run] : runs) {
          Advance(task);
        }
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
  }

  void Advance(const std::string& task) {
    Run& run = runs_.at(task);
    const std::int64_t now = SteadyMs();
    if (run.gang_size > 0 && gangs_.IsDone(run.gang)) {
      Finish(task, "done");
    } else if (ClockMs() > lease_until_) {
      Finish(task, "lapsed");
    } else if (run.stops_at != 0) {
      if (now >= run.stops_at) {
        Finish(task, "stopped");
      }
    } else if (run.gang_size > 0 && run.works_from != 0 && gangs_.IsBroken(run.gang)) {
      Finish(task, "broken");
    } else if (run.works_from == 0) {
      if (run.gang_size == 0 || gangs_.IsWhole(run.gang, run.gang_size)) {
        run.works_from = now;
      } else if (now - run.arrived_at >= kGangTimeoutMs) {
        Finish(task, "alone");
      }
    } else if (is_failing_ && now >= run.works_from + kFailMs) {
      Finish(task, "failed");
    } else if (now >= run.works_from + run.work_ms) {
      Finish(task, "done");
    }
  }

  void Finish(const std::string& task, const std::string& how) {
    const Run run = runs_.at(task);
    runs_.erase(task);
    over_[task] = std::max(over_[task], run.number);
    ends_.push_back({++last_end_, task, run.number, how});
    if (run.gang_size > 0) {
      how == "done" ? gangs_.Complete(run.gang) : gangs_.Break(run.gang);
    }
    record_.Line(id_ + " ended " + task + " run " + std::to_string(run.number) + " " + how +
                 ", its end " + std::to_string(last_end_));
    changed_.notify_all();
  }

  static std::uint64_t Unsigned(const json::object& body, const char* name) {
    return body.contains(name) ? body.at(name).to_number<std::uint64_t>() : 0;
  }

  Answer Json(int status, json::object body) const {
    body["clockMs"] = ClockMs();
    body["born"] = born_;
    return {status, json::serialize(body)};
  }

  Answer Handle(const Request& request) {
    if (is_dark_ || is_away_) {
      return {0, {}, true};
    }
    if (request["X-Clementineloom-Target-Instance"] != id_) {
      return {421, "{}"};
    }
    const json::object body = json::parse(request.body()).as_object();
    if (request.target() == "/run-start") {
      const std::int64_t delay_ms = late_start_ms_.exchange(0);
      if (delay_ms > 0) {
        record_.Line(id_ + " leaves an order without an answer: " + request.body());
        std::thread([this, request, body, delay_ms] {
          std::this_thread::sleep_for(std::chrono::milliseconds(delay_ms));
          record_.Line(id_ + " gets the order that was late");
          Carry(request, body);
        }).detach();
        return {0, {}, true};
      }
    }
    Answer answer = Carry(request, body);
    answer.is_silent = answer.is_silent || is_mute_;
    return answer;
  }

  Answer Carry(const Request& request, const json::object& body) {
    std::unique_lock lock(mutex_);
    if (Unsigned(body, "fencingToken") < token_) {
      return Json(409, {{"reason", "fence"}});
    }
    token_ = Unsigned(body, "fencingToken");
    if (request.target() == "/run-start") {
      return Start(body);
    }
    if (request.target() == "/run-stop") {
      return Stop(body);
    }
    return request.target() == "/hold" ? Hold(body, lock) : Json(200, {});
  }

  void Extend(const json::object& body) {
    if (body.contains("deadlineMs")) {
      const auto until =
          std::min(body.at("deadlineMs").to_number<std::int64_t>(), ClockMs() + facts_.max_hold_ms);
      lease_until_ = std::max(lease_until_, until);
    }
  }

  Answer Start(const json::object& body) {
    const std::string task(body.at("task").as_string());
    const std::uint64_t number = Unsigned(body, "runId");
    if (body.at("deadlineMs").to_number<std::int64_t>() <= ClockMs()) {
      return Json(409, {{"reason", "late"}});
    }
    Extend(body);
    const auto known = runs_.find(task);
    if (known != runs_.end() && known->second.number == number) {
      return Json(200, {});
    }
    if (known != runs_.end() || number <= over_[task]) {
      return Json(409, {{"reason", "old"}});
    }
    Run run;
    run.number = number;
    run.arrived_at = SteadyMs();
    const std::string spec(body.at("spec").as_string());
    std::istringstream in(spec);
    const std::string step = task.substr(0, task.rfind('.'));
    const bool is_first = step.ends_with(".0");
    for (std::string word; in >> word;) {
      if (word == "work" || (word == "then" && !is_first)) {
        in >> run.work_ms;
      } else if (word == "gang" && is_first) {
        in >> run.gang_size;
      }
    }
    run.gang = step + " run " + std::to_string(number);
    if (run.gang_size > 0) {
      gangs_.Enter(run.gang, task);
    }
    runs_[task] = run;
    ++starts_;
    ++starts_as_[facts_.kind];
    const std::string kind = facts_.kind;
    record_.Line(id_ + " of kind " + kind + " started " + task + " run " + std::to_string(number) +
                 " spec '" + spec + "' token " + std::to_string(token_));
    return Json(200, {});
  }

  Answer Stop(const json::object& body) {
    const std::string task(body.at("task").as_string());
    const std::uint64_t number = Unsigned(body, "runId");
    over_[task] = std::max(over_[task], number);
    const auto run = runs_.find(task);
    if (run != runs_.end() && run->second.number <= number && run->second.stops_at == 0) {
      run->second.stops_at = SteadyMs() + kStopMs;
    }
    record_.Line(id_ + " told to stop " + task + " run " + std::to_string(number));
    return Json(200, {});
  }

  Answer Hold(const json::object& body, std::unique_lock<std::mutex>& lock) {
    Extend(body);
    const std::uint64_t ack = Unsigned(body, "ackPosition");
    if (std::erase_if(ends_, [ack](const End& it) { return it.number <= ack; }) > 0) {
      record_.Line(id_ + " is told that its ends up to " + std::to_string(ack) +
                   " are taken note of");
    }
    const auto until =
        std::chrono::steady_clock::now() + std::chrono::milliseconds(Unsigned(body, "waitMs"));
    changed_.wait_until(lock, until, [this] { return !ends_.empty() || is_dark_ || is_away_; });
    if (is_dark_ || is_away_) {
      return {0, {}, true};
    }
    json::array running;
    for (const auto& [task, run] : runs_) {
      const std::int64_t worked = run.works_from == 0 ? 0 : SteadyMs() - run.works_from;
      const std::int64_t percent = std::min<std::int64_t>(99, worked * 100 / (run.work_ms + 1));
      running.push_back(json::array{task, run.number, "", percent, 0});
    }
    json::array ended;
    for (const End& it : ends_) {
      ended.push_back(json::array{it.number, it.task, it.run, it.how, ""});
    }
    return Json(200, {{"running", std::move(running)}, {"ended", std::move(ended)}});
  }

  WorkerFacts facts_;
  const std::string id_;
  Store& store_;
  Gangs& gangs_;
  Record& record_;
  std::int64_t born_;
  std::int64_t began_at_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, Run> runs_;
  std::map<std::string, std::uint64_t> over_;
  std::vector<End> ends_;
  std::uint64_t last_end_ = 0;
  std::uint64_t token_ = 0;
  std::int64_t lease_until_ = 0;
  std::uint64_t sequence_ = 0;
  int starts_ = 0;
  std::map<std::string, int> starts_as_;
  std::int64_t next_beat_ = 0;
  std::atomic<bool> is_failing_{false};
  std::atomic<bool> is_dark_{false};
  std::atomic<bool> is_away_{false};
  std::atomic<bool> is_mute_{false};
  std::atomic<std::int64_t> late_start_ms_{0};
  Server server_;
};

}  // namespace review
