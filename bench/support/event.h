#pragma once

#include <cstdint>
#include <variant>

#include "clementineloom/model/instant.h"
#include "support/events/arrival_due.h"
#include "support/events/cancel_due.h"
#include "support/events/data_centre_due.h"
#include "support/events/end_due.h"
#include "support/events/start_due.h"
#include "support/events/stop_due.h"
#include "support/events/tick_due.h"
#include "support/events/worker_due.h"

namespace clementineloom::bench {

using EventBody = std::variant<ArrivalDue, CancelDue, DataCentreDue, WorkerDue, StartDue, EndDue,
                               StopDue, TickDue>;

/// @brief Something that happens at a point of virtual time.
struct Event {
  Instant at;
  /// Number of the event; orders events of the same instant as they were scheduled.
  std::uint64_t sequence = 0;
  EventBody body;

  friend auto operator<=>(const Event&, const Event&) = default;
};

}  // namespace clementineloom::bench
