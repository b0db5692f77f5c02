#pragma once

#include <utility>

#include "clementineloom/concurrency/bounded_ring.h"
#include "gateway/caller_request.h"

namespace clementineloom::gateway {

/// @brief Sends requests from the routing duty to the jobs duties without blocking.
///
/// Thread safety: that of the ring.
class JobsPort {
 public:
  /// @param requests ring into the jobs duties; nullptr if no scheduler is configured
  explicit JobsPort(BoundedRing<CallerRequest>* requests) : requests_(requests) {}

  [[nodiscard]] bool is_open() const { return requests_ != nullptr; }

  /// @return false if the ring is full. Precondition: is_open().
  [[nodiscard]] bool TrySend(CallerRequest request) {
    return requests_->TryPush(std::move(request));
  }

 private:
  BoundedRing<CallerRequest>* requests_;
};

}  // namespace clementineloom::gateway
