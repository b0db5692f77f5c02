#pragma once

#include <chrono>
#include <string>
#include <utility>

#include "net/detail/request_ledger.h"

namespace clementineloom::net::detail {

/// @brief One request in a ledger: begins when it is created, and has one outcome. It is cut off if
/// it is destroyed without another outcome, also if the frame of its coroutine is destroyed.
/// Thread safety: none.
class RequestRecord {
 public:
  /// @param method, target empty if the request was not parsed
  /// Precondition: the ledger outlives the record.
  RequestRecord(RequestLedger& ledger, std::string method, std::string target)
      : ledger_(ledger), method_(std::move(method)), target_(std::move(target)) {
    ledger_.Begin();
  }
  ~RequestRecord() { End(RequestOutcome::kCutOff); }
  RequestRecord(const RequestRecord&) = delete;
  RequestRecord& operator=(const RequestRecord&) = delete;

  /// @brief Notes the outcome; further calls have no effect.
  void End(RequestOutcome outcome) {
    if (!std::exchange(has_ended_, true)) {
      const auto duration = std::chrono::steady_clock::now() - begun_at_;
      ledger_.End({std::move(method_), std::move(target_), outcome,
                   std::chrono::duration_cast<std::chrono::milliseconds>(duration)});
    }
  }

 private:
  RequestLedger& ledger_;
  std::string method_;
  std::string target_;
  const std::chrono::steady_clock::time_point begun_at_ = std::chrono::steady_clock::now();
  bool has_ended_ = false;
};

}  // namespace clementineloom::net::detail
