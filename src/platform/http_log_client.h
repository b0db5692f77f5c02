#pragma once

#include <chrono>
#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "clementineloom/errors/result.h"
#include "net/blocking_http_client.h"
#include "platform/read_batch.h"

namespace clementineloom::platform {

/// @brief Client of the log service's HTTP protocol (docs/platform-protocol.md); a LogClient.
///
/// After a failed call, the next call uses the next front end. No call is repeated here: an append
/// whose answer was lost may have taken effect, so only the caller can decide to retry it.
/// Thread safety: none; each duty has its own.
class HttpLogClient {
 public:
  /// Precondition: at least one address (IP:PORT).
  HttpLogClient(const std::string& thread_name, std::vector<std::string> addresses,
                std::chrono::milliseconds timeout = std::chrono::seconds(2));

  /// Errors: kLogUnavailable (did not run), kAppendUnknown (may have run).
  [[nodiscard]] Result<LogOffset> Append(std::string_view stream,
                                         const std::vector<std::string>& payloads);

  /// Errors: kLogUnavailable, kRecordsExpired.
  [[nodiscard]] Result<ReadBatch> Read(std::string_view stream, LogOffset from, std::size_t limit,
                                       std::chrono::milliseconds wait);

 private:
  [[nodiscard]] const std::string& address() const { return addresses_[current_]; }
  void UseNextAddress() { current_ = (current_ + 1) % addresses_.size(); }

  net::BlockingHttpClient http_;
  std::vector<std::string> addresses_;
  std::chrono::milliseconds timeout_;
  std::size_t current_ = 0;
};

}  // namespace clementineloom::platform
