#pragma once

#include <utility>

#include "clementineloom/concurrency/bounded_ring.h"
#include "gateway/caller_request.h"

namespace clementineloom::gateway {

/// @brief The routing duty's end of the ring into the jobs duties. Thread safety: as the ring's.
class JobsPort {
 public:
  /// @param requests nullptr in a gateway without a scheduler
  explicit JobsPort(BoundedRing<CallerRequest>* requests) : requests_(requests) {}

  [[nodiscard]] bool is_open() const { return requests_ != nullptr; }

  /// @return false if the ring is full. Precondition: is_open().
  [[nodiscard]] bool Take(CallerRequest request) { return requests_->TryPush(std::move(request)); }

 private:
  BoundedRing<CallerRequest>* requests_;
};

}  // namespace clementineloom::gateway
