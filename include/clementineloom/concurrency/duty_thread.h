#pragma once

#include <pthread.h>

#include <string>
#include <thread>
#include <utility>

namespace clementineloom {

/// @brief A named thread that runs one duty until its input ring is closed.
///
/// The destructor joins; precondition: the duty's ring is closed or its loop is stopped by then.
/// Thread safety: start and join from one thread.
class DutyThread {
 public:
  /// @brief Starts the duty. @param name at most 15 characters are shown by the kernel.
  template <class Duty>
  DutyThread(std::string name, Duty duty) : name_(std::move(name)), thread_(std::move(duty)) {
    // The kernel refuses names of more than 15 characters.
    pthread_setname_np(thread_.native_handle(), name_.substr(0, 15).c_str());
  }

  DutyThread(DutyThread&&) = default;
  DutyThread& operator=(DutyThread&&) = delete;

  ~DutyThread() { Join(); }

  /// @brief Waits for the duty to return.
  void Join() {
    if (thread_.joinable()) {
      thread_.join();
    }
  }

  [[nodiscard]] const std::string& name() const { return name_; }

 private:
  std::string name_;
  std::thread thread_;
};

}  // namespace clementineloom
