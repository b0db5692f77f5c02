#pragma once

#include <chrono>
#include <cstdint>
#include <cstdio>
#include <fstream>
#include <mutex>
#include <string>

namespace review {

inline std::int64_t SteadyMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

inline std::int64_t UnixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

// Writes what was sent, answered and run, with the milliseconds since the start.
class Record {
 public:
  explicit Record(const std::string& path) : out_(path), began_at_(SteadyMs()) {}

  void Line(const std::string& text) {
    const std::scoped_lock lock(mutex_);
    char time[32];
    std::snprintf(time, sizeof time, "%8lld ", static_cast<long long>(SteadyMs() - began_at_));
    out_ << time << text << std::endl;
  }

 private:
  std::mutex mutex_;
  std::ofstream out_;
  const std::int64_t began_at_;
};

}  // namespace review
