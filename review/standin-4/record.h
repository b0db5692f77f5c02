// The record of a case: what was sent, answered and run, with times in milliseconds.
#pragma once

#include <chrono>
#include <cstdio>
#include <mutex>
#include <string>

namespace review {

using Clock = std::chrono::steady_clock;

inline Clock::time_point Begin() {
  static const Clock::time_point begin = Clock::now();
  return begin;
}

inline long NowMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - Begin()).count();
}

inline long UnixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

inline void SleepMs(long ms) { std::this_thread::sleep_for(std::chrono::milliseconds(ms)); }

class Record {
 public:
  static void Open(const std::string& file) { File() = std::fopen(file.c_str(), "w"); }

  static void Line(const std::string& text) {
    static std::mutex mutex;
    const std::lock_guard lock(mutex);
    if (File() != nullptr) {
      std::fprintf(File(), "%6ld %s\n", NowMs(), text.c_str());
      std::fflush(File());
    }
  }

 private:
  static std::FILE*& File() {
    static std::FILE* file = nullptr;
    return file;
  }
};

}  // namespace review
