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

/// @brief An event of the simulation at a point in virtual time.
struct Event {
  Instant at;
  /// Breaks ties: events of the same instant run in the order of their scheduling.
  std::uint64_t sequence = 0;
  EventBody body;

  friend auto operator<=>(const Event&, const Event&) = default;
};

}  // namespace clementineloom::bench
