#pragma once

#include <utility>

#include "clementineloom/workload/instance_record.h"
#include "clementineloom/workload/workload_record.h"
#include "codec/workload_record_codec.h"
#include "entry/port/call_port.h"
#include "entry/store/appender.h"

namespace clementineloom::entry {

/// @brief Publishes the address and size of this instance to its peers.
/// Thread safety: none; use from the thread of the port.
template <class Platform, CallPort Port>
class InstanceAnnouncement {
 public:
  /// Precondition: the references outlive the announcement, and the announcement outlives the
  /// port's timers.
  InstanceAnnouncement(Port& port, Appender<Platform, Port>& appender,
                       workload::InstanceRecord instance)
      : port_(port), appender_(appender), instance_(std::move(instance)) {}

  /// @brief Publishes the instance, again and again until the store has appended it. Only the first
  /// call has an effect.
  void Begin() {
    if (!std::exchange(has_begun_, true)) {
      Publish();
    }
  }

 private:
  static constexpr workload::Milliseconds kRetryDelay{1'000};

  void Publish() {
    appender_.Append({codec::EncodeWorkloadRecord(workload::InstanceSet{instance_})},
                     [this](AppendStatus status) {
                       if (status != AppendStatus::kAppended) {
                         port_.After(kRetryDelay, [this] { Publish(); });
                       }
                     });
  }

  Port& port_;
  Appender<Platform, Port>& appender_;
  const workload::InstanceRecord instance_;
  bool has_begun_ = false;
};

}  // namespace clementineloom::entry
