#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <map>
#include <sstream>
#include <string>
#include <vector>

#include "http.h"
#include "record.h"

namespace review {

// What the settings of all instances say.
struct EntryFacts {
  std::string region;
  std::vector<std::string> zones;
  std::string store;
  std::int64_t max_hold_ms = 0;
  std::int64_t stop_timeout_ms = 0;
};

// The entry instances: each is a process of its own, started as deploy/system.toml says, with the
// settings of deploy/entry_settings.json filled in. They are ended with this object.
class Entries {
 public:
  Entries(std::size_t count, const EntryFacts& facts, Record& record) : record_(record) {
    std::string name = (std::filesystem::temp_directory_path() / "loom-review-XXXXXX").string();
    if (mkdtemp(name.data()) == nullptr) {
      throw std::runtime_error("no temporary folder");
    }
    folder_ = name;
    for (std::size_t n = 0; n < count; ++n) {
      Start(n, facts);
    }
  }
  ~Entries() {
    for (const pid_t it : processes_) {
      kill(it, SIGCONT);
      kill(it, SIGKILL);
      waitpid(it, nullptr, 0);
    }
    std::filesystem::remove_all(folder_);
  }
  Entries(const Entries&) = delete;
  Entries& operator=(const Entries&) = delete;

  [[nodiscard]] const std::vector<std::string>& fronts() const { return fronts_; }
  [[nodiscard]] pid_t process(std::size_t n) const { return processes_.at(n); }

  // Whether all are ready within some seconds.
  bool AwaitReady() {
    constexpr int kTries = 100;
    for (int n = 0; n < kTries; ++n) {
      std::size_t ready = 0;
      for (const std::string& it : ready_) {
        ready += Call(it, http::verb::get, "/ready", "ready", "", "").status == 200 ? 1 : 0;
      }
      if (ready == ready_.size()) {
        record_.Line("all instances are ready");
        return true;
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(100));
    }
    return false;
  }

 private:
  static std::string FreeAddress() {
    const int file = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    bind(file, reinterpret_cast<sockaddr*>(&address), sizeof address);
    socklen_t size = sizeof address;
    getsockname(file, reinterpret_cast<sockaddr*>(&address), &size);
    close(file);
    return "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
  }

  static std::string Filled(std::string text, const std::map<std::string, std::string>& fields) {
    for (const auto& [name, value] : fields) {
      const std::string placeholder = "{{" + name + "}}";
      for (auto at = text.find(placeholder); at != std::string::npos;
           at = text.find(placeholder, at)) {
        text.replace(at, placeholder.size(), value);
      }
    }
    return text;
  }

  void Start(std::size_t n, const EntryFacts& facts) {
    fronts_.push_back(FreeAddress());
    ready_.push_back(FreeAddress());
    const std::string metrics = FreeAddress();
    std::ifstream in("deploy/entry_settings.json");
    std::stringstream content;
    content << in.rdbuf();
    const std::string text =
        Filled(content.str(), {{"nodeName", "edge-" + std::to_string(n + 1)},
                               {"region", facts.region},
                               {"zone", facts.zones[n % facts.zones.size()]},
                               {"listenAddrs.front", fronts_.back()},
                               {"listenAddrs.ready", ready_.back()},
                               {"ip", "127.0.0.1"},
                               {"internalPorts.0", metrics.substr(10)},
                               {"platform.address", facts.store},
                               {"advice", ""},
                               {"limits.cpuShare", "0.25"},
                               {"bounds.maxHoldMs", std::to_string(facts.max_hold_ms)},
                               {"bounds.stopTimeoutMs", std::to_string(facts.stop_timeout_ms)},
                               {"bounds.gangTimeoutMs", "3000"},
                               {"bounds.status_s", "120"}});
    const std::string settings = folder_ + "/node-" + std::to_string(n + 1) + ".json";
    std::ofstream(settings) << text;
    const std::string log = folder_ + "/node-" + std::to_string(n + 1) + ".log";
    const pid_t parent = getpid();
    const pid_t process = fork();
    if (process == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      if (getppid() != parent) {
        _exit(1);
      }
      const char* kept = std::getenv("REVIEW_LOGS");
      const std::string file =
          kept == nullptr ? log : std::string(kept) + "/node-" + std::to_string(n + 1) + ".log";
      const int out = open(file.c_str(), O_CREAT | O_TRUNC | O_WRONLY, 0600);
      dup2(out, STDOUT_FILENO);
      dup2(out, STDERR_FILENO);
      setenv("CLEMENTINELOOM_BOOT", settings.c_str(), 1);
      execl("target/loom-entry", "target/loom-entry", static_cast<char*>(nullptr));
      _exit(1);
    }
    processes_.push_back(process);
    record_.Line("started instance edge-" + std::to_string(n + 1) + " at " + fronts_.back());
  }

  Record& record_;
  std::string folder_;
  std::vector<std::string> fronts_;
  std::vector<std::string> ready_;
  std::vector<pid_t> processes_;
};

}  // namespace review
