// A small deployment on loopback addresses: the store, and instances of loom-entry as processes of
// their own, started with the command and the template of the deploy file.
#pragma once

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>

#include <cstdlib>
#include <fstream>
#include <random>
#include <sstream>

#include "worker.h"

namespace review {

// A free port below those that the system gives to outgoing connections.
inline std::uint16_t FreePort() {
  static std::mt19937 random{std::random_device{}()};
  static std::set<std::uint16_t> taken;
  while (true) {
    const auto port = static_cast<std::uint16_t>(20'000 + random() % 10'000);
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(port);
    const bool is_free = ::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0;
    ::close(fd);
    if (is_free && taken.insert(port).second) {
      return port;
    }
  }
}

struct Bounds {
  long max_hold_ms = 6000;
  long stop_timeout_ms = 400;
  long gang_timeout_ms = 3000;
  long status_s = 120;
  std::string cpu_share = "0.25";
};

// An instance of loom-entry.
class Entry {
 public:
  Entry(std::string name, std::string zone, const std::string& store, std::string folder,
        const Bounds& bounds)
      : name_(std::move(name)), folder_(std::move(folder)) {
    front_ = "127.0.0.1:" + std::to_string(FreePort());
    ready_ = "127.0.0.1:" + std::to_string(FreePort());
    const std::map<std::string, std::string> fields{
        {"nodeName", name_},
        {"region", "region-a"},
        {"zone", std::move(zone)},
        {"listenAddrs.front", front_},
        {"listenAddrs.ready", ready_},
        {"ip", "127.0.0.1"},
        {"internalPorts.0", std::to_string(FreePort())},
        {"platform.address", store},
        {"advice", ""},
        {"limits.cpuShare", bounds.cpu_share},
        {"bounds.maxHoldMs", std::to_string(bounds.max_hold_ms)},
        {"bounds.stopTimeoutMs", std::to_string(bounds.stop_timeout_ms)},
        {"bounds.gangTimeoutMs", std::to_string(bounds.gang_timeout_ms)},
        {"bounds.status_s", std::to_string(bounds.status_s)}};
    std::ifstream in("deploy/entry_settings.json");
    std::stringstream text;
    text << in.rdbuf();
    std::string settings = text.str();
    for (const auto& [key, value] : fields) {
      const std::string mark = "{{" + key + "}}";
      for (auto at = settings.find(mark); at != std::string::npos; at = settings.find(mark)) {
        settings.replace(at, mark.size(), value);
      }
    }
    std::ofstream(folder_ + "/" + name_ + ".json") << settings;
  }
  ~Entry() { Kill(); }

  void Start() {
    const std::string file = folder_ + "/" + name_ + ".json";
    const std::string log = folder_ + "/" + name_ + ".log";
    // Made before the fork: only system calls are safe in the child of a process with threads.
    std::string boot = "CLEMENTINELOOM_BOOT=" + file;
    std::string path = "PATH=/usr/bin:/bin";
    char* const environment[] = {boot.data(), path.data(), nullptr};
    pid_ = ::fork();
    if (pid_ == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      ::dup2(out, 1);
      ::dup2(out, 2);
      char program[] = "target/loom-entry";
      char* const arguments[] = {program, nullptr};
      ::execve(program, arguments, environment);
      std::_Exit(127);
    }
    Record::Line(name_ + " started");
  }
  void Signal(int number) const {
    if (pid_ > 0) {
      ::kill(pid_, number);
    }
  }
  void Kill() {
    if (pid_ > 0) {
      ::kill(pid_, SIGKILL);
      ::waitpid(pid_, nullptr, 0);
      pid_ = -1;
    }
  }
  // Whether the process has ended by itself.
  bool HasEnded() {
    int status = 0;
    if (pid_ > 0 && ::waitpid(pid_, &status, WNOHANG) == pid_) {
      Record::Line(name_ + " has ended, status " + std::to_string(status));
      pid_ = -1;
      return true;
    }
    return false;
  }
  bool IsReady() const {
    const auto answer = Call(ready_, "GET", "/ready", {{"Host", "x"}}, "", 500);
    return answer && answer->status == 200;
  }

  const std::string& name() const { return name_; }
  const std::string& front() const { return front_; }

 private:
  const std::string name_;
  const std::string folder_;
  std::string front_;
  std::string ready_;
  pid_t pid_ = -1;
};

class Deployment {
 public:
  static constexpr const char* kHost = "jobs.example";
  static constexpr const char* kKey = "key-1";

  Deployment(int entries, const Bounds& bounds) {
    char folder[] = "/tmp/review-XXXXXX";
    folder_ = ::mkdtemp(folder);
    for (int n = 1; n <= entries; ++n) {
      this->entries.push_back(std::make_unique<Entry>("edge-" + std::to_string(n), "zone-a",
                                                      store.Address(), folder_, bounds));
    }
  }
  // Ends all instances and removes the temporary folder.
  void End() {
    entries.clear();
    if (std::getenv("KEEP") == nullptr) {
      const int ignored = std::system(("rm -rf " + folder_).c_str());
      (void)ignored;
    }
  }

  // Three queues of one service: batch, urgent and background work.
  static json::object Config(long version) {
    const auto route = [](const char* name, const char* prefix, int priority, int attempts) {
      return json::object{{"name", name},         {"host", kHost},     {"pathPrefix", prefix},
                          {"type", "unsafe"},     {"timeoutMs", 3000}, {"targetLatencyMs", 1000},
                          {"priority", priority}, {"service", "svc"},  {"maxAttempts", attempts},
                          {"stretch", 3.0},       {"public", false}};
    };
    return {
        {"version", version},
        {"routes",
         {route("r-urgent", "/urgent/", 0, 2), route("r-batch", "/batch/", 1, 4),
          route("r-back", "/back/", 2, 3)}},
        {"services",
         {json::object{{"name", "svc"},
                       {"healthPath", "/health"},
                       {"maxConnections", 64},
                       {"protocol", "h1"},
                       {"enforcesCapacity", false},
                       {"standby", false}}}},
        {"tenants",
         {json::object{{"name", "team-1"}, {"apiKeys", {kKey}}, {"guaranteed", {{"gpus", 0}}}}}}};
  }

  void PutConfig(const json::object& config) {
    store.Put("keyed.op", "config", json::serialize(config));
    Record::Line("config " + std::to_string(config.at("version").to_number<long>()));
  }

  // Starts the instances and waits until all are ready. Returns whether they are.
  bool StartEntries() {
    for (auto& it : entries) {
      it->Start();
    }
    for (int n = 0; n < 150; ++n) {
      if (std::all_of(entries.begin(), entries.end(),
                      [](const auto& it) { return it->IsReady(); })) {
        return true;
      }
      for (auto& it : entries) {
        if (it->HasEnded()) {
          it->Start();
        }
      }
      SleepMs(100);
    }
    Record::Line("the instances did not become ready");
    return false;
  }

  // The instance that owns the workers, as the jobs topic says; null if there is none.
  Entry* Owner() {
    const std::string value = store.Newest("keyed.loom", "owner");
    for (auto& it : entries) {
      if (value.find('"' + it->name() + '"') != std::string::npos) {
        return it.get();
      }
    }
    return nullptr;
  }

  std::optional<Response> Ask(const Entry& entry, const std::string& method,
                              const std::string& path, const std::string& body = "") {
    auto answer = Call(entry.front(), method, path,
                       {{"Host", kHost},
                        {"Authorization", std::string("Token ") + kKey},
                        {"Content-Type", "application/json"},
                        {"X-Clementineloom-Deadline-Ms", "3000"}},
                       body, 3000);
    Record::Line("client " + method + " " + path + " at " + entry.name() +
                 (body.empty() ? "" : " " + body.substr(0, 200)) + " -> " +
                 (answer ? std::to_string(answer->status) + " " + answer->body.substr(0, 100)
                         : "no answer"));
    return answer;
  }

  const std::string& folder() const { return folder_; }

  Store store;
  Events events;
  std::vector<std::unique_ptr<Entry>> entries;

 private:
  std::string folder_;
};

// A task runs twice in the sense of the rule TWICE: a start after an end `done` of which note is
// taken (then or later), or two runs at the same time on workers that are up. Returns the breaks.
inline std::vector<std::string> TwiceBreaks(const std::vector<Event>& events) {
  std::vector<std::string> breaks;
  std::map<std::string, std::vector<Event>> by_task;
  for (const Event& it : events) {
    if (!it.task.empty()) {
      by_task[it.task].push_back(it);
    }
  }
  for (const auto& [task, list] : by_task) {
    // Ends `done` that are taken note of.
    for (const Event& noted : list) {
      if (noted.kind != Event::kNoted || noted.how != "done") {
        continue;
      }
      long done_at = -1;
      for (const Event& it : list) {
        if (it.kind == Event::kEnd && it.worker == noted.worker && it.life == noted.life &&
            it.run == noted.run) {
          done_at = it.at;
        }
      }
      for (const Event& it : list) {
        if (it.kind == Event::kStart && done_at >= 0 && it.at > done_at) {
          breaks.push_back("task " + task + ": run " + std::to_string(it.run) + " starts on " +
                           it.worker + " at " + std::to_string(it.at) + " ms, after run " +
                           std::to_string(noted.run) + " has ended done on " + noted.worker +
                           " at " + std::to_string(done_at) + " ms, which was taken note of at " +
                           std::to_string(noted.at) + " ms");
        }
      }
    }
    // Two runs at a time.
    struct Span {
      long from;
      long to;
      std::string worker;
      long run;
    };
    std::vector<Span> spans;
    for (const Event& it : list) {
      if (it.kind != Event::kStart) {
        continue;
      }
      long to = 1L << 60;
      for (const Event& end : events) {
        const bool is_its_end = end.kind == Event::kEnd && end.task == task && end.run == it.run &&
                                end.worker == it.worker && end.life == it.life;
        const bool is_crash =
            end.kind == Event::kDown && end.worker == it.worker && end.life == it.life;
        if (is_its_end || is_crash) {
          to = std::min(to, end.at);
        }
      }
      spans.push_back({it.at, to, it.worker, it.run});
    }
    for (std::size_t a = 0; a < spans.size(); ++a) {
      for (std::size_t b = a + 1; b < spans.size(); ++b) {
        if (spans[a].from < spans[b].to && spans[b].from < spans[a].to) {
          breaks.push_back("task " + task + ": run " + std::to_string(spans[a].run) + " on " +
                           spans[a].worker + " from " + std::to_string(spans[a].from) +
                           " ms and run " + std::to_string(spans[b].run) + " on " +
                           spans[b].worker + " from " + std::to_string(spans[b].from) +
                           " ms work at the same time");
        }
      }
    }
  }
  return breaks;
}

// Ends the case with its exit code: 1 if the rule was broken, 0 if it held.
[[noreturn]] inline void Conclude(Deployment& world, const std::vector<std::string>& breaks) {
  for (const std::string& it : breaks) {
    Record::Line("BROKEN " + it);
    std::printf("BROKEN %s\n", it.c_str());
  }
  Record::Line(breaks.empty() ? "the rule held" : "the rule was broken");
  std::printf("%s\n", breaks.empty() ? "held" : "broken");
  std::fflush(stdout);
  world.End();
  // Threads of the stand-ins may still wait.
  std::_Exit(breaks.empty() ? 0 : 1);
}

}  // namespace review
