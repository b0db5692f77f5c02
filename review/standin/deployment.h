#pragma once

#include <cstdlib>
#include <memory>
#include <string>
#include <vector>

#include "entries.h"
#include "record.h"
#include "store.h"
#include "worker.h"

namespace review {

inline constexpr int kHeld = 0;
inline constexpr int kBroken = 1;
inline constexpr int kCouldNotRun = 2;

inline bool HasTrouble() {
  const char* trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::string(trouble) != "0";
}

// Figures of a site of the pages, for the settings, the workers and the stand-ins.
struct Site {
  std::string region;
  std::vector<std::string> zones;
  std::int64_t worker_cpu = 0;
  std::int64_t worker_memory_mb = 0;
  std::size_t rack = 0;
  std::int64_t max_hold_ms = 0;
  std::int64_t stop_timeout_ms = 0;
};

inline Site PgskLoom() {
  return {"kurzeme", {"liepaja", "ventspils", "pavilosta", "kolka"}, 128'000, 262'144, 6, 10'000,
          200};
}

inline Site TslDakar() {
  return {"senegal-west", {"dakar-port", "thies", "rufisque"}, 64'000, 131'072, 8, 6'000, 400};
}

// A small deployment: the store, workers of two kinds, three entry instances, and a client.
class Deployment {
 public:
  static constexpr const char* kHost = "nony24.example";
  static constexpr const char* kPrefix = "/lohu930/";
  static constexpr const char* kKey = "d4a3hwrr6x73d3zji9n7";

  // The last rare_workers of the workers are of kind "b", the others of kind "a".
  Deployment(const Site& site, const std::string& record_path, std::size_t worker_count,
             std::size_t rare_workers, int max_attempts)
      : record(record_path) {
    const json::object route{{"name", "r-1"},         {"host", kHost},
                             {"pathPrefix", kPrefix}, {"type", "unsafe"},
                             {"timeoutMs", 3'000},    {"targetLatencyMs", 250},
                             {"priority", 0},         {"service", "inspect"},
                             {"stretch", 1.5},        {"maxAttempts", max_attempts},
                             {"public", false}};
    const json::object service{{"name", "inspect"},    {"healthPath", "/health"},
                               {"maxConnections", 64}, {"protocol", "h1"},
                               {"tls", false},         {"enforcesCapacity", false},
                               {"standby", false}};
    const json::object tenant{{"name", "t-1"},
                              {"apiKeys", json::array{kKey}},
                              {"priority", 1},
                              {"guaranteed", json::object{{"gpus", 72}}}};
    store.Put("keyed.op", "config",
              json::serialize(json::object{{"version", 7},
                                           {"routes", json::array{route}},
                                           {"services", json::array{service}},
                                           {"limits", json::object{}},
                                           {"tenants", json::array{tenant}}}));
    for (std::size_t n = 0; n < worker_count; ++n) {
      const bool is_rare = n + rare_workers >= worker_count;
      workers.push_back(std::make_unique<Worker>(
          WorkerFacts{"i-" + std::to_string(1'000 + n), "inspect",
                      site.zones[n % site.zones.size()], is_rare ? "b" : "a",
                      "r1-" + std::to_string(n / site.rack), site.worker_cpu, site.worker_memory_mb,
                      site.max_hold_ms},
          store, gangs, record));
    }
    constexpr std::size_t kInstances = 3;
    entries = std::make_unique<Entries>(kInstances,
                                        EntryFacts{site.region, site.zones, store.address(),
                                                   site.max_hold_ms, site.stop_timeout_ms},
                                        record);
  }

  // Whether the instances are ready; leaves them time to call the workers.
  bool Begin() {
    if (!entries->AwaitReady()) {
      return false;
    }
    std::this_thread::sleep_for(std::chrono::seconds(4));
    return true;
  }

  // A call of a client to an instance; what is sent and answered goes into the record.
  Answer Ask(std::size_t instance, http::verb method, const std::string& job,
             const std::string& body = "") {
    const std::string what = std::string(http::to_string(method)) + " " + kPrefix + job +
                             " to edge-" + std::to_string(instance + 1);
    record.Line("sent " + what + (body.empty() ? "" : " " + body));
    Answer answer = Call(entries->fronts().at(instance), method, kPrefix + job, kHost, kKey, body);
    record.Line("answered " + std::to_string(answer.status) + " " + answer.body + " to " + what);
    return answer;
  }

  Record record;
  Store store;
  Gangs gangs;
  std::vector<std::unique_ptr<Worker>> workers;
  std::unique_ptr<Entries> entries;
};

// Ends the process at once: the threads of the stand-ins never end.
[[noreturn]] inline void End(std::unique_ptr<Deployment>& deployment, int code) {
  deployment->record.Line("exit " + std::to_string(code));
  deployment->entries.reset();
  std::fflush(nullptr);
  _exit(code);
}

}  // namespace review
