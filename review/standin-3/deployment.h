// Entry instances as the deploy file starts them, a client, and the record of a case.
#pragma once

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <map>
#include <mutex>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include "http.h"
#include "store.h"

namespace review {

using std::chrono::milliseconds;

// Seconds since the case began, and lines of the record.
class Record {
 public:
  explicit Record(const std::string& path) : out_(path) {}
  double Seconds() const {
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - began_).count();
  }
  void Line(const std::string& text) {
    const std::lock_guard lock(mutex_);
    char time[32];
    std::snprintf(time, sizeof time, "%8.3f s  ", Seconds());
    out_ << time << text << "\n" << std::flush;
  }

 private:
  const std::chrono::steady_clock::time_point began_ = std::chrono::steady_clock::now();
  std::mutex mutex_;
  std::ofstream out_;
};

// The line "run" of the deploy file, split at spaces.
inline std::vector<std::string> RunCommand(const std::string& deploy_file) {
  std::ifstream in(deploy_file);
  std::string line;
  while (std::getline(in, line)) {
    if (line.starts_with("run = \"")) {
      std::istringstream words(line.substr(7, line.rfind('"') - 7));
      std::vector<std::string> command;
      for (std::string it; words >> it;) {
        command.push_back(it);
      }
      return command;
    }
  }
  throw std::runtime_error("no line run in the deploy file");
}

// A free port below those that the system hands out for outgoing connections.
inline std::uint16_t FreePort() {
  static int next = 12'000 + static_cast<int>(::getpid()) * 37 % 18'000;
  for (int tries = 0; tries < 20'000; ++tries) {
    next = next >= 31'999 ? 12'000 : next + 1;
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in addr{};
    addr.sin_family = AF_INET;
    addr.sin_port = htons(static_cast<std::uint16_t>(next));
    addr.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const bool is_free = ::bind(fd, reinterpret_cast<sockaddr*>(&addr), sizeof addr) == 0;
    ::close(fd);
    if (is_free) {
      return static_cast<std::uint16_t>(next);
    }
  }
  throw std::runtime_error("no free port");
}

struct Bounds {
  std::string max_hold_ms = "6000";
  std::string stop_timeout_ms = "400";
  std::string gang_timeout_ms = "3000";
  std::string status_s = "120";
};

class Instance {
 public:
  Instance(std::string name, std::string zone, const std::string& store, const Bounds& bounds,
           std::string folder)
      : name_(std::move(name)), folder_(std::move(folder)) {
    const std::string listen = "127.0.0.1:" + std::to_string(FreePort());
    const std::string ready = "127.0.0.1:" + std::to_string(FreePort());
    const std::map<std::string, std::string> fields{
        {"nodeName", name_},
        {"region", "senegal-west"},
        {"zone", zone},
        {"listenAddrs.front", listen},
        {"listenAddrs.ready", ready},
        {"ip", "127.0.0.1"},
        {"internalPorts.0", std::to_string(FreePort())},
        {"platform.address", store},
        {"advice", ""},
        {"limits.cpuShare", "0.25"},
        {"bounds.maxHoldMs", bounds.max_hold_ms},
        {"bounds.stopTimeoutMs", bounds.stop_timeout_ms},
        {"bounds.gangTimeoutMs", bounds.gang_timeout_ms},
        {"bounds.status_s", bounds.status_s}};
    front_ = listen;
    ready_ = ready;
    std::ifstream in("deploy/entry_settings.json");
    std::stringstream content;
    content << in.rdbuf();
    std::string text = content.str();
    for (const auto& [key, value] : fields) {
      const std::string placeholder = "{{" + key + "}}";
      for (auto at = text.find(placeholder); at != std::string::npos; at = text.find(placeholder)) {
        text.replace(at, placeholder.size(), value);
      }
    }
    if (text.empty() || text.find("{{") != std::string::npos) {
      throw std::runtime_error("the template of the settings has changed");
    }
    std::ofstream(folder_ + "/" + name_ + ".conf") << text;
  }
  ~Instance() { End(SIGKILL); }
  Instance(const Instance&) = delete;
  Instance& operator=(const Instance&) = delete;

  const std::string& name() const { return name_; }
  const std::string& front() const { return front_; }
  pid_t pid() const { return pid_; }

  void Start() {
    const std::vector<std::string> command = RunCommand("deploy/system.toml");
    const std::string log = folder_ + "/" + name_ + ".log";
    const std::string boot = "CLEMENTINELOOM_BOOT=" + folder_ + "/" + name_ + ".conf";
    pid_ = ::fork();
    if (pid_ == 0) {
      // Ends with the case, however that ends.
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int fd = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      ::dup2(fd, 1);
      ::dup2(fd, 2);
      std::vector<char*> args;
      for (const std::string& it : command) {
        args.push_back(const_cast<char*>(it.c_str()));
      }
      args.push_back(nullptr);
      std::string path = "PATH=/usr/bin:/bin";
      std::string home = "HOME=/tmp";
      std::string lang = "LANG=C";
      char* env[] = {path.data(), home.data(), lang.data(), const_cast<char*>(boot.c_str()),
                     nullptr};
      ::execve(args[0], args.data(), env);
      ::_exit(127);
    }
  }

  bool IsReady() const {
    Request request(http::verb::get, "/ready", 11);
    request.set(http::field::host, ready_);
    const auto response = Call(ready_, request, milliseconds(500));
    return response && response->result_int() == 200;
  }

  // Sends a signal and waits until the process has ended.
  void End(int signal) {
    if (pid_ > 0) {
      ::kill(pid_, signal);
      ::waitpid(pid_, nullptr, 0);
      pid_ = 0;
    }
  }

 private:
  const std::string name_;
  const std::string folder_;
  std::string front_;
  std::string ready_;
  pid_t pid_ = 0;
};

// A caller: each call on a connection of its own, repeated at the next instance as the pages say.
class Client {
 public:
  Client(std::vector<std::string> fronts, std::string host, std::string key)
      : fronts_(std::move(fronts)), host_(std::move(host)), key_(std::move(key)) {}

  // Status of the last answer; 0 for none.
  unsigned Send(http::verb method, const std::string& target, const std::string& body,
                std::string* answer = nullptr) {
    unsigned status = 0;
    for (int attempt = 0; attempt < 5; ++attempt) {
      Request request(method, target, 11);
      request.set(http::field::host, host_);
      request.set(http::field::authorization, "Token " + key_);
      request.set("X-Clementineloom-Deadline-Ms", "3000");
      request.keep_alive(false);
      if (!body.empty()) {
        request.set(http::field::content_type, "application/json");
        request.body() = body;
      }
      request.prepare_payload();
      const auto response = Call(fronts_[next_++ % fronts_.size()], request, milliseconds(3'000));
      status = response ? response->result_int() : 0;
      if (response && status != 429 && status != 502 && status != 503 && status != 504) {
        if (answer != nullptr) {
          *answer = response->body();
        }
        return status;
      }
      std::this_thread::sleep_for(milliseconds(200));
    }
    return status;
  }

 private:
  const std::vector<std::string> fronts_;
  const std::string host_;
  const std::string key_;
  std::size_t next_ = 0;
};

}  // namespace review
