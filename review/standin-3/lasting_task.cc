// A task that lasts loses its worker while less urgent work fills the fleet. See
// review/9/claim.txt.
#include <atomic>
#include <boost/json/src.hpp>
#include <cstdint>
#include <deque>
#include <iostream>
#include <random>

#include "deployment.h"
#include "store.h"
#include "worker.h"

namespace review {
namespace {

constexpr int kInstances = 6;
constexpr int kWorkers = 24;
constexpr int kAccelerators = 8;
constexpr double kLostAt = 15;   // seconds after the service runs
constexpr double kWatched = 35;  // seconds after the loss
constexpr double kControl = 12;  // seconds for a new job of the same shape, at the end
constexpr double kGraceS = 6;    // RULES.md: from 6 s after its last run
constexpr double kIdleS = 3;     // RULES.md: for 3 s
constexpr const char* kHost = "nony24.example";
constexpr const char* kKey = "d4a3hwrr6x73d3zji9n7";
constexpr const char* kZones[] = {"dakar-port", "thies", "rufisque"};

std::string Config() {
  const auto route = [](const char* name, const char* prefix, int priority, int target,
                        double stretch, int attempts) {
    return json::object{
        {"name", name},         {"host", kHost},         {"pathPrefix", prefix},
        {"type", "unsafe"},     {"timeoutMs", 3000},     {"targetLatencyMs", target},
        {"priority", priority}, {"service", "dispatch"}, {"maxAttempts", attempts},
        {"stretch", stretch},   {"public", false}};
  };
  return json::serialize(json::object{
      {"version", 7},
      {"routes", json::array{route("fleet-recheck", "/recheck/", 2, 3000, 3.0, 3),
                             route("route-quote", "/quote/", 0, 250, 1.5, 2)}},
      {"services", json::array{json::object{{"name", "dispatch"},
                                            {"healthPath", "/health"},
                                            {"maxConnections", 64},
                                            {"enforcesCapacity", false}}}},
      {"tenants", json::array{json::object{{"name", "kaje80"},
                                           {"apiKeys", json::array{kKey}},
                                           {"guaranteed", json::object{{"gpus", 4}}}}}}});
}

std::string Id(std::uint64_t number) {
  char text[17];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(number));
  return text;
}

std::string ServiceJob() {
  return json::serialize(json::object{{"spec", "lasts"},
                                      {"steps", json::array{json::object{{"count", 1},
                                                                         {"cpu", 7'500},
                                                                         {"memMb", 11'000},
                                                                         {"gpus", 8},
                                                                         {"estimateMs", 2'500},
                                                                         {"longRunning", true}}}}});
}

std::string BatchJob(int tasks, int length_ms) {
  return json::serialize(
      json::object{{"spec", std::to_string(length_ms)},
                   {"steps", json::array{json::object{{"count", tasks},
                                                      {"cpu", 5'600},
                                                      {"memMb", 15'000},
                                                      {"gpus", 1},
                                                      {"estimateMs", length_ms}}}}});
}

// What the workers have seen.
class Seen {
 public:
  explicit Seen(Record& record) : record_(record) {}

  void On(const std::string& worker, const std::string& kind, const std::string& task,
          std::uint64_t run, const std::string& how) {
    const std::lock_guard lock(mutex_);
    const bool is_service = task.starts_with(Id(1) + ".") || task.starts_with(Id(2) + ".");
    if (is_service) {
      record_.Line(kind + " " + task + " run " + std::to_string(run) + " on " + worker + " " + how);
    }
    if (kind == "start") {
      ++started_;
      where_[task] = worker;
    } else if (kind != "ack") {
      where_.erase(task);
      if (is_service) {
        ended_at_[task] = record_.Seconds();
      } else if (how == "done") {
        ++done_;
      }
    }
  }

  // The worker that has the only task of a job; empty for none.
  std::string WorkerOf(std::uint64_t job) {
    const std::lock_guard lock(mutex_);
    const auto it = where_.find(Id(job) + ".0.0.0");
    return it == where_.end() ? "" : it->second;
  }
  std::size_t running() {
    const std::lock_guard lock(mutex_);
    return where_.size();
  }
  std::size_t done() {
    const std::lock_guard lock(mutex_);
    return done_;
  }

 private:
  Record& record_;
  std::mutex mutex_;
  std::map<std::string, std::string> where_;
  std::map<std::string, double> ended_at_;
  std::size_t started_ = 0;
  std::size_t done_ = 0;
};

void Pause(int ms) { std::this_thread::sleep_for(milliseconds(ms)); }

template <class Condition>
bool WaitFor(double seconds, Condition condition) {
  const auto until = std::chrono::steady_clock::now() + std::chrono::duration<double>(seconds);
  while (!condition()) {
    if (std::chrono::steady_clock::now() > until) {
      return false;
    }
    Pause(20);
  }
  return true;
}

int Play(bool has_trouble, const std::string& record_path, const std::string& folder) {
  Record record(record_path);
  Seen seen(record);
  Store store;
  std::vector<std::unique_ptr<Worker>> workers;
  for (int n = 0; n < kWorkers; ++n) {
    const int zone = n / kAccelerators;
    workers.push_back(std::make_unique<Worker>(
        store, "i-" + Id(0xa000 + n).substr(8), kZones[zone % 3], "r1-" + std::to_string(zone),
        "dispatch", WorkerTimes{}, [&seen](auto&&... it) { seen.On(it...); }));
  }
  std::atomic<bool> is_over{false};
  std::thread ticker([&] {
    while (!is_over) {
      for (const auto& it : workers) {
        it->Tick();
      }
      Pause(5);
    }
  });
  store.Put("keyed.op", "config", Config());
  std::vector<std::unique_ptr<Instance>> instances;
  std::vector<std::string> fronts;
  for (int n = 0; n < kInstances; ++n) {
    instances.push_back(std::make_unique<Instance>("edge-" + std::to_string(n + 1), kZones[n % 3],
                                                   store.address(), Bounds{}, folder));
    instances.back()->Start();
    fronts.push_back(instances.back()->front());
  }
  std::atomic<std::size_t> sent_tasks{0};
  std::atomic<bool> is_loaded{false};
  std::thread load([&] {
    Client client(fronts, kHost, kKey);
    std::minstd_rand random(7);
    std::uint64_t number = 1'000;
    while (!is_over) {
      // Jobs keep coming so that some tasks always wait.
      if (is_loaded && sent_tasks < seen.done() + std::size_t{2} * kWorkers * kAccelerators) {
        const int tasks = 12;
        const int length = 5'000 + static_cast<int>(random() % 4'000);
        const unsigned status =
            client.Send(http::verb::post, "/recheck/" + Id(++number), BatchJob(tasks, length));
        sent_tasks += status == 200 ? tasks : 0;
      } else {
        Pause(20);
      }
    }
  });
  const auto finish = [&](int result, const std::string& why) {
    is_over = true;
    load.join();
    for (const auto& it : instances) {
      it->End(SIGKILL);
    }
    ticker.join();
    record.Line(why);
    std::cout << why << "\n";
    return result;
  };
  const auto are_ready = [&] {
    return std::all_of(instances.begin(), instances.end(),
                       [](const auto& it) { return it->IsReady(); });
  };
  if (!WaitFor(15, are_ready)) {
    return finish(2, "could not run: the instances are not ready");
  }
  Client client(fronts, kHost, kKey);
  const unsigned status = client.Send(http::verb::post, "/quote/" + Id(1), ServiceJob());
  record.Line("job " + Id(1) + " (one task that lasts, priority 0, 8 gpus) answered " +
              std::to_string(status));
  if (status != 200 || !WaitFor(5, [&] { return !seen.WorkerOf(1).empty(); })) {
    return finish(2, "could not run: the job was not started");
  }
  is_loaded = true;
  WaitFor(kLostAt, [] { return false; });
  record.Line(std::to_string(seen.running()) + " tasks run; of " +
              std::to_string(kWorkers * kAccelerators) + " gpus");
  if (seen.running() < std::size_t{(kWorkers - 2) * kAccelerators}) {
    return finish(2, "could not run: the less urgent work does not fill the fleet");
  }
  if (has_trouble) {
    const std::string lost = seen.WorkerOf(1);
    record.Line("worker " + lost + " crashes and is lost for good");
    for (const auto& it : workers) {
      if (it->id() == lost) {
        it->Crash();
      }
    }
  }
  const double lost_at = record.Seconds();
  double longest = 0;
  std::optional<double> missing_since;
  while (record.Seconds() - lost_at < kWatched) {
    Pause(10);
    const double now = record.Seconds();
    if (!seen.WorkerOf(1).empty()) {
      missing_since.reset();
    } else {
      missing_since = missing_since.value_or(now);
      longest = std::max(longest, now - *missing_since);
    }
  }
  record.Line(std::to_string(seen.running()) + " tasks run at the end of the watch");
  std::string state;
  client.Send(http::verb::get, "/quote/" + Id(1), "", &state);
  record.Line(
      "GET of job " + Id(1) + ": " + state +
      "; less urgent tasks done since the start of the load: " + std::to_string(seen.done()));
  // For comparison: a new job of the same shape gets room.
  const double sent_at = record.Seconds();
  client.Send(http::verb::post, "/quote/" + Id(2), ServiceJob());
  const bool is_started = WaitFor(kControl, [&] { return !seen.WorkerOf(2).empty(); });
  record.Line(is_started ? "control: a new job of the same shape was started after " +
                               std::to_string(record.Seconds() - sent_at) + " s"
                         : "control: a new job of the same shape was not started");
  char text[160];
  std::snprintf(text, sizeof text,
                "the task that lasts had no run for %.1f s at the most; the bound is %.0f s",
                longest, kGraceS + kIdleS);
  return finish(longest > kGraceS + kIdleS ? 1 : 0, text);
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  if (argc != 3) {
    std::cerr << "usage: lasting_task RECORD FOLDER, in the repository\n";
    return 2;
  }
  ::signal(SIGPIPE, SIG_IGN);
  const char* trouble = std::getenv("TROUBLE");
  try {
    return review::Play(trouble == nullptr || std::string(trouble) != "0", argv[1], argv[2]);
  } catch (const std::exception& error) {
    std::cerr << error.what() << "\n";
    return 2;
  }
}
