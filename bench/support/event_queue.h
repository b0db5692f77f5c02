#pragma once

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

#include "support/event.h"

namespace clementineloom::bench {

/// @brief Events in order of virtual time. Thread safety: none.
class EventQueue {
 public:
  void Add(Instant at, EventBody body) { events_.push({at, ++last_sequence_, body}); }

  [[nodiscard]] bool IsEmpty() const { return events_.empty(); }

  /// Precondition: not empty.
  [[nodiscard]] Event TakeNext() {
    Event next = events_.top();
    events_.pop();
    return next;
  }

 private:
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::uint64_t last_sequence_ = 0;
};

}  // namespace clementineloom::bench
