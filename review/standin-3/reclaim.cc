// A team asks for its guaranteed accelerators while another team's lasting tasks borrow them. See
// review/7/claim.txt.
#include <algorithm>
#include <atomic>
#include <boost/json/src.hpp>
#include <cstdint>
#include <iostream>
#include <set>

#include "deployment.h"
#include "store.h"
#include "worker.h"

namespace review {
namespace {

constexpr int kInstances = 6;
constexpr int kWorkers = 24;
constexpr int kAccelerators = 8;
constexpr int kGuaranteed = 72;  // accelerators of the team that asks
constexpr int kUsualJobs = 7;    // lasting jobs of the other team, of 16 accelerators each
constexpr double kBurst = 1.8;   // times the usual traffic, as in the site file
constexpr int kTasksPerJob = 8;
constexpr int kAcceleratorsPerTask = 2;
constexpr int kAskedTasks = 3;     // of 8 accelerators each: a third of the guarantee
constexpr double kReclaimS = 2.9;  // bounds.reclaimMs
constexpr double kWatchedS = 40;
constexpr const char* kHost = "nony24.example";
constexpr const char* kOwnerKey = "d4a3hwrr6x73d3zji9n7";
constexpr const char* kBorrowerKey = "3hh2b9wu3fexd9dnn2ct";
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
  const auto tenant = [](const char* name, const char* key, int accelerators) {
    return json::object{{"name", name},
                        {"apiKeys", json::array{key}},
                        {"guaranteed", json::object{{"gpus", accelerators}}}};
  };
  return json::serialize(json::object{
      {"version", 7},
      {"routes", json::array{route("fleet-recheck", "/recheck/", 2, 3000, 3.0, 3),
                             route("route-quote", "/quote/", 0, 250, 1.5, 2)}},
      {"services", json::array{json::object{{"name", "dispatch"},
                                            {"healthPath", "/health"},
                                            {"maxConnections", 64},
                                            {"enforcesCapacity", false}}}},
      {"tenants",
       json::array{tenant("kaje80", kOwnerKey, kGuaranteed), tenant("mevo31", kBorrowerKey, 24)}}});
}

std::string Id(std::uint64_t number) {
  char text[17];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(number));
  return text;
}

std::string JobOf(const char* spec, json::object step) {
  return json::serialize(json::object{{"spec", spec}, {"steps", json::array{std::move(step)}}});
}

// Tasks that last, without mayMiss.
std::string LastingJob() {
  return JobOf("lasts", {{"count", kTasksPerJob},
                         {"cpu", 5'600},
                         {"memMb", 15'000},
                         {"gpus", kAcceleratorsPerTask},
                         {"estimateMs", 7'600},
                         {"longRunning", true}});
}

std::string UrgentJob() {
  return JobOf("2500", {{"count", kAskedTasks},
                        {"cpu", 7'500},
                        {"memMb", 11'000},
                        {"gpus", 8},
                        {"estimateMs", 2'500}});
}

// What the workers have seen.
class Seen {
 public:
  explicit Seen(Record& record) : record_(record) {}

  void On(const std::string& worker, const std::string& kind, const std::string& task,
          std::uint64_t run, const std::string& how) {
    const std::lock_guard lock(mutex_);
    record_.Line(kind + " " + task + " run " + std::to_string(run) + " on " + worker + " " + how);
    if (kind == "start") {
      running_.insert(task);
      began_.insert(task);
    } else if (kind != "ack") {
      running_.erase(task);
    }
  }
  std::size_t running() {
    const std::lock_guard lock(mutex_);
    return running_.size();
  }
  // Number of tasks of a job that have begun.
  std::size_t BegunOf(const std::string& job) {
    const std::lock_guard lock(mutex_);
    return static_cast<std::size_t>(std::count_if(
        began_.begin(), began_.end(), [&](const auto& it) { return it.starts_with(job + "."); }));
  }

 private:
  Record& record_;
  std::mutex mutex_;
  std::set<std::string> running_;
  std::set<std::string> began_;
};

void Pause(int ms) { std::this_thread::sleep_for(milliseconds(ms)); }

template <class Condition>
bool WaitFor(double seconds, Condition condition) {
  const auto until = std::chrono::steady_clock::now() + std::chrono::duration<double>(seconds);
  while (!condition()) {
    if (std::chrono::steady_clock::now() > until) {
      return false;
    }
    Pause(10);
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
  const auto finish = [&](int result, const std::string& why) {
    for (const auto& it : instances) {
      it->End(SIGKILL);
    }
    is_over = true;
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
  Client borrower(fronts, kHost, kBorrowerKey);
  Client owner(fronts, kHost, kOwnerKey);
  const int jobs = has_trouble ? static_cast<int>(kUsualJobs * kBurst) : kUsualJobs;
  for (int n = 1; n <= jobs; ++n) {
    const unsigned status =
        borrower.Send(http::verb::post, "/recheck/" + Id(0x100 + n), LastingJob());
    record.Line("lasting job " + Id(0x100 + n) + " (priority 2) answered " +
                std::to_string(status));
    if (status != 200) {
      return finish(2, "could not run: a lasting job was not accepted");
    }
  }
  const auto wanted = static_cast<std::size_t>(jobs * kTasksPerJob);
  if (!WaitFor(15, [&] { return seen.running() == wanted; })) {
    return finish(2, "could not run: the lasting tasks were not started");
  }
  Pause(5'000);
  record.Line(std::to_string(seen.running() * kAcceleratorsPerTask) + " of " +
              std::to_string(kWorkers * kAccelerators) +
              " accelerators are in use by lasting tasks");
  const std::string job = Id(1);
  const unsigned status = owner.Send(http::verb::post, "/quote/" + job, UrgentJob());
  const double accepted_at = record.Seconds();
  record.Line("job " + job + " (priority 0, 24 accelerators, its team is guaranteed " +
              std::to_string(kGuaranteed) + " and uses none) answered " + std::to_string(status));
  if (status != 200) {
    return finish(2, "could not run: the job was not accepted");
  }
  const auto has_begun = [&] { return seen.BegunOf(job) == std::size_t{kAskedTasks}; };
  const bool is_begun = WaitFor(kWatchedS, has_begun);
  const double waited = record.Seconds() - accepted_at;
  std::string state;
  owner.Send(http::verb::get, "/quote/" + job, "", &state);
  record.Line("GET of job " + job + ": " + state);
  if (!is_begun) {
    // For comparison: the borrower gives some accelerators back by itself.
    borrower.Send(http::verb::delete_, "/recheck/" + Id(0x101), "");
    borrower.Send(http::verb::delete_, "/recheck/" + Id(0x102), "");
    const double at = record.Seconds();
    record.Line(WaitFor(10, has_begun)
                    ? "control: after two lasting jobs were cancelled it began within " +
                          std::to_string(record.Seconds() - at) + " s"
                    : "control: it did not begin after two lasting jobs were cancelled");
  }
  char text[160];
  std::snprintf(text, sizeof text,
                "the guaranteed job %s %.1f s after its acknowledgement; the bound is %.1f s",
                is_begun ? "had begun" : "had not begun", waited, kReclaimS);
  return finish(waited > kReclaimS ? 1 : 0, text);
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  if (argc != 3) {
    std::cerr << "usage: reclaim RECORD FOLDER, in the repository\n";
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
