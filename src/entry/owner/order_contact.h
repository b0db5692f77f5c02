#pragma once

#include <string>

#include "entry/owner/owner_core.h"
#include "entry/owner/owner_timing.h"
#include "entry/worker/order_status.h"
#include "logging/event_log.h"

namespace clementineloom::entry {

/// @brief Notes which workers answer orders. A worker that answers polls but no orders gets no new
/// runs, and its lease is let go. Thread safety: none; use from the thread of the port.
template <class Platform, CallPort Port>
class OrderContact {
 public:
  explicit OrderContact(OwnerCore<Platform, Port>& core) : core_(core) {}

  /// @brief Whether a worker has answered an order, if only to refuse it.
  [[nodiscard]] static bool IsAnswered(OrderStatus status) {
    return status != OrderStatus::kUnknown && status != OrderStatus::kUnreachable;
  }

  /// @brief Notes the outcome of an order.
  void NoteAnswer(const std::string& worker, OrderStatus status) {
    const auto link = core_.links.find(worker);
    if (link != core_.links.end() && IsAnswered(status)) {
      link->second.order_silence.OnAnswered();
    }
  }

  /// @brief Notes that an order that will be repeated had no answer. A worker that does not answer
  /// polls either is cut off, and its lease is not extended anyway.
  void NoteSilence(const std::string& worker) {
    const auto it = core_.links.find(worker);
    if (it == core_.links.end()) {
      return;
    }
    OrderSilence& silence = it->second.order_silence;
    const bool was_lasting = silence.IsLasting();
    if (it->second.failures == 0) {
      silence.OnUnanswered(core_.port.Now());
    }
    if (!silence.IsLasting()) {
      return;
    }
    core_.BackOff(worker, OwnerTiming::kLongBackoff);
    if (!was_lasting) {
      logging::LogEvent(logging::LogLevel::kWarning, "worker_answers_no_orders",
                        {{"worker", worker}, {"runs", core_.workers[worker].runs.size()}});
    }
  }

 private:
  OwnerCore<Platform, Port>& core_;
};

}  // namespace clementineloom::entry
