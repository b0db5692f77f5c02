// A stand-in of a worker, as the users' PROTOCOL.md describes it ("Running tasks", "Service
// discovery").
#pragma once

#include <algorithm>
#include <set>

#include "store.h"

namespace review {

// What all workers did, for the checks.
struct Event {
  enum Kind { kStart, kEnd, kNoted, kRestart, kDown } kind;
  long at;
  std::string worker;
  int life;
  std::string task;
  long run;
  std::string how;  // of an end
  long number;      // of an end
};

class Events {
 public:
  void Add(Event event) {
    const std::lock_guard lock(mutex_);
    events_.push_back(std::move(event));
  }
  std::vector<Event> All() const {
    const std::lock_guard lock(mutex_);
    return events_;
  }

 private:
  mutable std::mutex mutex_;
  std::vector<Event> events_;
};

struct WorkerSpec {
  std::string id;
  std::string service = "svc";
  std::string zone = "zone-a";
  std::string kind = "a";
  std::string rack = "r1-1";
  long cpu = 64000;
  long mem_mb = 131072;
  long gpus = 8;
  long max_hold_ms = 6000;
  long stop_ms = 100;
  long gang_ms = 3000;
};

class Worker {
 public:
  // What becomes of a call: answered, or left without an answer and carried out after some time.
  struct Verdict {
    bool is_answered = true;
    long carried_out_after_ms = -1;  // below 0: never
  };
  using Hook = std::function<Verdict(const std::string& path, const json::object& body)>;
  // Milliseconds of work of a task's run.
  using Work = std::function<long(const std::string& task, long run)>;

  Worker(Store& store, Events& events, WorkerSpec spec, Work work)
      : store_(store),
        events_(events),
        spec_(std::move(spec)),
        work_(std::move(work)),
        server_([this](const Request& it) { return Serve(it); }),
        ticker_([this] { Tick(); }),
        heart_([this] { Beat(); }) {}

  ~Worker() {
    is_ending_ = true;
    changed_.notify_all();
    ticker_.join();
    heart_.join();
    server_.Stop();
  }

  // Begins a life of the worker.
  void Start() {
    {
      const std::lock_guard lock(mutex_);
      ++life_;
      born_ = UnixMs();
      began_ = Clock::now();
      fence_ = 0;
      runs_.clear();
      ended_.clear();
      last_end_ = 0;
      top_run_.clear();
      lease_ms_ = 0;
      is_up_ = true;
    }
    server_.Start();
    events_.Add({Event::kRestart, NowMs(), spec_.id, life_, "", 0, "", 0});
    Record::Line(spec_.id + " starts, life " + std::to_string(life_));
    PutEntry();
  }

  // The worker's process dies; it runs nothing from then on and says nothing.
  void Crash() {
    {
      const std::lock_guard lock(mutex_);
      is_up_ = false;
      runs_.clear();
    }
    changed_.notify_all();
    events_.Add({Event::kDown, NowMs(), spec_.id, life_, "", 0, "", 0});
    Record::Line(spec_.id + " crashes");
    server_.Stop();
  }

  void set_hook(Hook hook) {
    const std::lock_guard lock(mutex_);
    hook_ = std::move(hook);
  }

  // While a worker is cut off it gets no calls, and none of its answers arrive; it runs on.
  void set_cut(bool is_cut) {
    is_cut_ = is_cut;
    Record::Line(spec_.id + (is_cut ? " is cut off" : " is reached again"));
  }

  void set_draining(bool is_draining, long remaining_ms) {
    {
      const std::lock_guard lock(mutex_);
      is_draining_ = is_draining;
      remaining_ms_ = remaining_ms;
    }
    PutEntry();
  }

  void PutEntry() {
    json::object entry;
    {
      const std::lock_guard lock(mutex_);
      if (!is_up_) {
        return;
      }
      entry = {{"service", spec_.service},
               {"address", server_.Address()},
               {"zone", spec_.zone},
               {"version", "v1"},
               {"slots", 8},
               {"state", is_draining_ ? "draining" : "ready"},
               {"coldRemainingMs", 0},
               {"capacity", {{"cpu", spec_.cpu}, {"memMb", spec_.mem_mb}, {"gpus", spec_.gpus}}},
               {"labels", {spec_.kind, spec_.rack}},
               {"clockMs", ClockMs()},
               {"born", born_},
               {"sequence", ++sequence_}};
      if (is_draining_) {
        entry["remainingMs"] = remaining_ms_;
      }
    }
    store_.Put("keyed.servers", spec_.id, json::serialize(entry));
  }

  // Calls to all workers so far.
  static std::atomic<long>& Calls() {
    static std::atomic<long> calls{0};
    return calls;
  }
  const std::string& id() const { return spec_.id; }
  std::string Address() const { return server_.Address(); }
  int life() const { return life_; }

 private:
  struct Run {
    long run = 0;
    Clock::time_point began;
    long work_ms = 0;
    bool is_stopping = false;
    Clock::time_point stop_at;
  };
  struct End {
    long number;
    std::string task;
    long run;
    std::string how;
  };

  long ClockMs() const {
    return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - began_).count() +
           1000;
  }

  std::optional<Response> Serve(const Request& request) {
    ++Calls();
    const auto target = request.headers.find("x-clementineloom-target-instance");
    if (target != request.headers.end() && target->second != spec_.id) {
      return Response{421, "{}"};
    }
    if (request.Path() == "/health") {
      return Response{200, "{}"};
    }
    const json::object body = json::parse(request.body).as_object();
    Hook hook;
    {
      const std::lock_guard lock(mutex_);
      hook = hook_;
    }
    const Verdict verdict = hook ? hook(request.Path(), body) : Verdict{};
    if (is_cut_) {
      Record::Line(spec_.id + " is not reached by " + request.Path() + " " + request.body);
      return std::nullopt;
    }
    if (verdict.is_answered) {
      auto answer = Carry(request.Path(), body);
      return is_cut_ ? std::nullopt : std::move(answer);
    }
    Record::Line(
        spec_.id + " leaves " + request.Path() + " " + request.body + " unanswered" +
        (verdict.carried_out_after_ms < 0
             ? ""
             : ", carried out " + std::to_string(verdict.carried_out_after_ms) + " ms later"));
    if (verdict.carried_out_after_ms >= 0) {
      std::thread([this, path = request.Path(), body, verdict] {
        SleepMs(verdict.carried_out_after_ms);
        if (IsUp()) {
          json::object late = body;
          late.erase("waitMs");
          Record::Line(spec_.id + " carries out, late, " + path + " " + json::serialize(late));
          Carry(path, late);
        }
      }).detach();
    }
    return std::nullopt;
  }

  bool IsUp() {
    const std::lock_guard lock(mutex_);
    return is_up_;
  }

  std::optional<Response> Carry(const std::string& path, const json::object& body) {
    std::unique_lock lock(mutex_);
    if (!is_up_) {
      return std::nullopt;
    }
    const long token =
        body.contains("fencingToken") ? body.at("fencingToken").to_number<long>() : 0;
    if (token < fence_) {
      return Conflict("fence");
    }
    fence_ = token;
    if (path == "/run-start") {
      return StartRun(body);
    }
    if (path == "/run-stop") {
      return StopRun(body);
    }
    if (path == "/hold") {
      return Hold(body, lock);
    }
    if (path == "/pace") {
      return Response{200, json::serialize(json::object{{"clockMs", ClockMs()}})};
    }
    return Response{404, "{}"};
  }

  Response Conflict(const char* reason) const {
    return {409, json::serialize(json::object{{"clockMs", ClockMs()}, {"reason", reason}})};
  }

  void Extend(const json::object& body) {
    if (body.contains("deadlineMs")) {
      const long until =
          std::min(body.at("deadlineMs").to_number<long>(), ClockMs() + spec_.max_hold_ms);
      lease_ms_ = std::max(lease_ms_, until);
    }
  }

  Response StartRun(const json::object& body) {
    const std::string task(body.at("task").as_string());
    const long run = body.at("runId").to_number<long>();
    if (body.at("deadlineMs").to_number<long>() <= ClockMs()) {
      return Conflict("late");
    }
    Extend(body);
    const auto known = runs_.find(task);
    if (known != runs_.end() && known->second.run == run) {
      return {200, json::serialize(json::object{{"clockMs", ClockMs()}})};
    }
    if (known != runs_.end() || run <= top_run_[task]) {
      return Conflict("old");
    }
    Run& begun = runs_[task];
    begun.run = run;
    begun.began = Clock::now();
    begun.work_ms = work_(task, run);
    events_.Add({Event::kStart, NowMs(), spec_.id, life_, task, run, "", 0});
    Record::Line(spec_.id + " starts run " + std::to_string(run) + " of " + task + " (token " +
                 std::to_string(fence_) + ")");
    return {200, json::serialize(json::object{{"clockMs", ClockMs()}})};
  }

  Response StopRun(const json::object& body) {
    const std::string task(body.at("task").as_string());
    const long run = body.at("runId").to_number<long>();
    const auto known = runs_.find(task);
    if (known != runs_.end() && known->second.run <= run && !known->second.is_stopping) {
      known->second.is_stopping = true;
      known->second.stop_at = Clock::now() + std::chrono::milliseconds(spec_.stop_ms);
      Record::Line(spec_.id + " is told to stop run " + std::to_string(run) + " of " + task);
    }
    top_run_[task] = std::max(top_run_[task], run);
    return {200, json::serialize(json::object{{"clockMs", ClockMs()}})};
  }

  Response Hold(const json::object& body, std::unique_lock<std::mutex>& lock) {
    Extend(body);
    const long ack = body.contains("ackPosition") ? body.at("ackPosition").to_number<long>() : 0;
    for (auto it = ended_.begin(); it != ended_.end();) {
      if (it->number <= ack) {
        events_.Add(
            {Event::kNoted, NowMs(), spec_.id, life_, it->task, it->run, it->how, it->number});
        Record::Line(spec_.id + " forgets end " + std::to_string(it->number) + " (run " +
                     std::to_string(it->run) + " of " + it->task + ", " + it->how +
                     "): ackPosition " + std::to_string(ack));
        it = ended_.erase(it);
      } else {
        ++it;
      }
    }
    if (body.contains("waitMs")) {
      const int life = life_;
      changed_.wait_for(lock, std::chrono::milliseconds(body.at("waitMs").to_number<long>()),
                        [&] { return !ended_.empty() || !is_up_ || life != life_; });
    }
    json::array running;
    for (const auto& [task, run] : runs_) {
      const long done =
          std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - run.began).count();
      running.push_back(
          {task, run.run, "", std::min(99L, done * 100 / std::max(run.work_ms, 1L)), 1000});
    }
    json::array ended;
    for (const End& it : ended_) {
      if (ended.size() < 500) {
        ended.push_back({it.number, it.task, it.run, it.how, ""});
      }
    }
    return {200, json::serialize(json::object{{"clockMs", ClockMs()},
                                              {"born", born_},
                                              {"running", std::move(running)},
                                              {"ended", std::move(ended)}})};
  }

  void EndRun(const std::string& task, long run, const std::string& how) {
    ended_.push_back({++last_end_, task, run, how});
    top_run_[task] = std::max(top_run_[task], run);
    events_.Add({Event::kEnd, NowMs(), spec_.id, life_, task, run, how, last_end_});
    Record::Line(spec_.id + " end " + std::to_string(last_end_) + ": run " + std::to_string(run) +
                 " of " + task + " " + how);
    changed_.notify_all();
  }

  void Tick() {
    while (!is_ending_) {
      SleepMs(5);
      const std::lock_guard lock(mutex_);
      const auto now = Clock::now();
      const bool has_lapsed = is_up_ && ClockMs() > lease_ms_;
      for (auto it = runs_.begin(); it != runs_.end();) {
        const std::string task = it->first;
        const Run run = it->second;
        std::string how;
        if (run.is_stopping && now >= run.stop_at) {
          how = "stopped";
        } else if (has_lapsed) {
          how = "lapsed";
        } else if (now - run.began >= std::chrono::milliseconds(run.work_ms)) {
          how = "done";
        }
        if (how.empty()) {
          ++it;
        } else {
          it = runs_.erase(it);
          EndRun(task, run.run, how);
        }
      }
    }
  }

  void Beat() {
    while (!is_ending_) {
      SleepMs(100);
      if (++beats_ % 15 == 0) {
        PutEntry();
      }
    }
  }

  Store& store_;
  Events& events_;
  const WorkerSpec spec_;
  const Work work_;
  std::mutex mutex_;
  std::condition_variable changed_;
  Hook hook_;
  std::atomic<int> life_{0};
  long born_ = 0;
  Clock::time_point began_;
  long fence_ = 0;
  std::map<std::string, Run> runs_;
  std::vector<End> ended_;
  long last_end_ = 0;
  std::map<std::string, long> top_run_;
  long lease_ms_ = 0;
  bool is_up_ = false;
  bool is_draining_ = false;
  long remaining_ms_ = 0;
  long sequence_ = 0;
  long beats_ = 0;
  std::atomic<bool> is_cut_{false};
  std::atomic<bool> is_ending_{false};
  Server server_;
  std::thread ticker_;
  std::thread heart_;
};

}  // namespace review
