#pragma once

#include <mutex>
#include <utility>

#include "net/ended_request.h"
#include "net/request_counts.h"
#include "net/server_observer.h"

namespace clementineloom::net::detail {

/// @brief Counts the requests of a server and their outcomes, and reports them to an observer.
/// Thread safety: counts may be called from any thread, the other members from one at a time.
class RequestLedger {
 public:
  explicit RequestLedger(ServerObserver observer) : observer_(std::move(observer)) {}

  /// @brief Notes that a first part of a request was received.
  void BeginReceipt() {
    const std::scoped_lock lock(mutex_);
    ++counts_.receiving;
  }
  /// @brief Notes that the receipt of a request has ended. Precondition: BeginReceipt was called.
  void EndReceipt() {
    const std::scoped_lock lock(mutex_);
    --counts_.receiving;
  }

  /// @brief Notes that a request was read.
  void Begin() {
    {
      const std::scoped_lock lock(mutex_);
      ++counts_.read;
    }
    if (observer_.on_read) {
      observer_.on_read();
    }
  }
  /// @brief Notes the outcome of a request. Precondition: Begin was called for it.
  void End(const EndedRequest& request) {
    {
      const std::scoped_lock lock(mutex_);
      ++CountOf(request.outcome);
    }
    if (observer_.on_end) {
      observer_.on_end(request);
    }
  }

  /// @brief Reports a refusal that the server itself makes.
  void NoteRefusal(ResultCode code) const {
    if (observer_.on_refusal) {
      observer_.on_refusal(code);
    }
  }

  [[nodiscard]] RequestCounts counts() const {
    const std::scoped_lock lock(mutex_);
    return counts_;
  }

 private:
  std::uint64_t& CountOf(RequestOutcome outcome) {
    switch (outcome) {
      case RequestOutcome::kAnswered:
        return counts_.answered;
      case RequestOutcome::kRefused:
        return counts_.refused;
      case RequestOutcome::kUnwritten:
        return counts_.unwritten;
      case RequestOutcome::kDiscarded:
        return counts_.discarded;
      case RequestOutcome::kCutOff:
        return counts_.cut_off;
    }
    return counts_.cut_off;
  }

  const ServerObserver observer_;
  mutable std::mutex mutex_;
  RequestCounts counts_;
};

}  // namespace clementineloom::net::detail
