// A worker as the page on the platform's interfaces describes it. The spec of a job says how long
// its tasks run ("MS" milliseconds) or that they last ("lasts").
#pragma once

#include <algorithm>
#include <boost/json.hpp>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

#include "http.h"
#include "store.h"

namespace review {

struct WorkerTimes {
  std::int64_t max_hold_ms = 6'000;
  std::int64_t stop_ms = 100;
};

class Worker {
 public:
  // Kind of event ("start", "end", "ack", "crash"), task, run, and how it ended.
  using Observer =
      std::function<void(const std::string& worker, const std::string& kind,
                         const std::string& task, std::uint64_t run, const std::string& how)>;

  Worker(Store& store, std::string id, std::string zone, std::string rack, std::string service,
         WorkerTimes times, Observer observer)
      : store_(store),
        id_(std::move(id)),
        zone_(std::move(zone)),
        rack_(std::move(rack)),
        service_(std::move(service)),
        times_(times),
        observer_(std::move(observer)),
        server_([this](const Request& it) { return Handle(it); }) {
    Begin();
  }

  const std::string& id() const { return id_; }

  // To be called every few milliseconds: ends runs, lapses leases, writes the entry.
  void Tick() {
    const std::lock_guard lock(mutex_);
    if (is_gone_) {
      if (!is_removed_ && Now() - gone_at_ > 3 * kHeartbeat) {
        is_removed_ = true;
        store_.Put("keyed.servers", id_, "");
      }
      return;
    }
    const std::int64_t clock = Clock();
    std::vector<std::pair<std::string, std::string>> over;
    for (const auto& [task, run] : running_) {
      if (clock > lease_until_) {
        over.emplace_back(task, "lapsed");
      } else if (run.stop_at && clock >= *run.stop_at) {
        over.emplace_back(task, "stopped");
      } else if (run.length_ms >= 0 && clock - run.began_at >= run.length_ms) {
        over.emplace_back(task, "done");
      }
    }
    for (const auto& [task, how] : over) {
      End(task, how);
    }
    if (Now() - beat_at_ >= kHeartbeat) {
      Beat();
    }
  }

  // The process ends; with "gone" it does not come back.
  void Crash() {
    server_.Close();
    const std::lock_guard lock(mutex_);
    for (const auto& [task, run] : std::exchange(running_, {})) {
      observer_(id_, "crash", task, run.number, "");
    }
    is_gone_ = true;
    gone_at_ = Now();
    changed_.notify_all();
  }

  std::size_t running() {
    const std::lock_guard lock(mutex_);
    return running_.size();
  }

 private:
  using SteadyTime = std::chrono::steady_clock::time_point;
  struct Run {
    std::uint64_t number = 0;
    std::int64_t began_at = 0;
    // Below 0: lasts.
    std::int64_t length_ms = 0;
    std::optional<std::int64_t> stop_at;
  };
  struct EndRow {
    std::uint64_t number = 0;
    std::string task;
    std::uint64_t run = 0;
    std::string how;
  };

  static constexpr std::chrono::milliseconds kHeartbeat{1'500};
  static constexpr std::int64_t kStartupMs = 800;

  static SteadyTime Now() { return std::chrono::steady_clock::now(); }
  std::int64_t Clock() const {
    return std::chrono::duration_cast<std::chrono::milliseconds>(Now() - began_).count() + 1'000;
  }

  void Begin() {
    const std::lock_guard lock(mutex_);
    began_ = Now();
    born_ms_ = std::chrono::duration_cast<std::chrono::milliseconds>(
                   std::chrono::system_clock::now().time_since_epoch())
                   .count();
    Beat();
  }

  void Beat() {
    beat_at_ = Now();
    store_.Put("keyed.servers", id_,
               json::serialize(json::object{
                   {"service", service_},
                   {"address", server_.address()},
                   {"zone", zone_},
                   {"version", "v1"},
                   {"slots", 8},
                   {"state", "ready"},
                   {"coldRemainingMs", 0},
                   {"capacity", json::object{{"cpu", 64'000}, {"memMb", 131'072}, {"gpus", 8}}},
                   {"labels", json::array{"a", rack_}},
                   {"clockMs", Clock()},
                   {"born", born_ms_},
                   {"sequence", ++beats_}}));
  }

  void End(const std::string& task, const std::string& how) {
    const auto it = running_.find(task);
    const std::uint64_t run = it->second.number;
    running_.erase(it);
    highest_ended_[task] = std::max(highest_ended_[task], run);
    ended_.push_back({++last_end_, task, run, how});
    observer_(id_, "end", task, run, how);
    changed_.notify_all();
  }

  std::optional<Response> Handle(const Request& request) {
    const std::string path(request.target());
    if (path == "/health") {
      return Reply(200, "{}");
    }
    if (std::string(request["X-Clementineloom-Target-Instance"]) != id_) {
      return Reply(421, "{}");
    }
    const json::object body = json::parse(request.body()).as_object();
    std::unique_lock lock(mutex_);
    const std::uint64_t token = Number(body, "fencingToken");
    if (token < token_) {
      return Conflict("fence");
    }
    token_ = token;
    if (path == "/run-start") {
      return Start(body);
    }
    if (path == "/run-stop") {
      return Stop(body);
    }
    return path == "/hold" ? Hold(body, lock) : Reply(200, Clocked({}));
  }

  static std::uint64_t Number(const json::object& body, const char* name) {
    const json::value* value = body.if_contains(name);
    return value == nullptr ? 0 : value->to_number<std::uint64_t>();
  }

  std::string Clocked(json::object body) const {
    body["clockMs"] = Clock();
    body["born"] = born_ms_;
    return json::serialize(body);
  }
  Response Conflict(const char* reason) const { return Reply(409, Clocked({{"reason", reason}})); }

  void Extend(const json::object& body) {
    if (body.contains("deadlineMs")) {
      const auto until = static_cast<std::int64_t>(Number(body, "deadlineMs"));
      lease_until_ = std::max(lease_until_, std::min(until, Clock() + times_.max_hold_ms));
    }
  }

  Response Start(const json::object& body) {
    const std::string task(body.at("task").as_string());
    const std::uint64_t run = Number(body, "runId");
    if (static_cast<std::int64_t>(Number(body, "deadlineMs")) <= Clock()) {
      return Conflict("late");
    }
    Extend(body);
    const auto known = running_.find(task);
    if (known != running_.end() && known->second.number == run) {
      return Reply(200, Clocked({}));
    }
    if (known != running_.end() || run <= highest_ended_[task]) {
      return Conflict("old");
    }
    const std::string spec(body.at("spec").as_string());
    // Tasks of one job differ by up to 30%, as in the users' load.
    const auto percent = static_cast<std::int64_t>(70 + std::hash<std::string>()(task) % 61);
    const std::int64_t length = spec == "lasts" ? -1 : std::stoll(spec) * percent / 100;
    running_[task] = {run, Clock(), length, std::nullopt};
    observer_(id_, "start", task, run, "");
    return Reply(200, Clocked({}));
  }

  Response Stop(const json::object& body) {
    const std::string task(body.at("task").as_string());
    const std::uint64_t run = Number(body, "runId");
    highest_ended_[task] = std::max(highest_ended_[task], run);
    const auto known = running_.find(task);
    if (known != running_.end() && known->second.number <= run && !known->second.stop_at) {
      known->second.stop_at = Clock() + times_.stop_ms;
    }
    return Reply(200, Clocked({}));
  }

  std::optional<Response> Hold(const json::object& body, std::unique_lock<std::mutex>& lock) {
    Extend(body);
    const std::uint64_t ack = Number(body, "ackPosition");
    for (const EndRow& it : ended_) {
      if (it.number <= ack) {
        observer_(id_, "ack", it.task, it.run, it.how);
      }
    }
    std::erase_if(ended_, [ack](const EndRow& it) { return it.number <= ack; });
    const auto wait =
        std::chrono::milliseconds(std::min<std::uint64_t>(Number(body, "waitMs"), 2'000));
    changed_.wait_for(lock, wait, [this] { return !ended_.empty() || is_gone_; });
    if (is_gone_) {
      return std::nullopt;
    }
    json::array running;
    for (const auto& [task, run] : running_) {
      const std::int64_t worked = Clock() - run.began_at;
      const std::int64_t percent = run.length_ms < 0
                                       ? (worked >= kStartupMs ? 100 : 0)
                                       : std::min<std::int64_t>(99, 100 * worked / run.length_ms);
      running.push_back(json::array{task, run.number, "", percent, 0});
    }
    json::array ended;
    for (const EndRow& it : ended_) {
      if (ended.size() < 500) {
        ended.push_back(json::array{it.number, it.task, it.run, it.how, ""});
      }
    }
    return Reply(200, Clocked({{"running", std::move(running)}, {"ended", std::move(ended)}}));
  }

  Store& store_;
  const std::string id_;
  const std::string zone_;
  const std::string rack_;
  const std::string service_;
  const WorkerTimes times_;
  const Observer observer_;
  std::mutex mutex_;
  std::condition_variable changed_;
  SteadyTime began_;
  std::int64_t born_ms_ = 0;
  SteadyTime beat_at_;
  std::uint64_t beats_ = 0;
  bool is_gone_ = false;
  bool is_removed_ = false;
  SteadyTime gone_at_;
  std::uint64_t token_ = 0;
  std::int64_t lease_until_ = 0;
  std::map<std::string, Run> running_;
  std::map<std::string, std::uint64_t> highest_ended_;
  std::vector<EndRow> ended_;
  std::uint64_t last_end_ = 0;
  Server server_;
};

}  // namespace review
