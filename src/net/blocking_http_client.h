#pragma once

#include <chrono>
#include <string>

#include "clementineloom/concurrency/bounded_ring.h"
#include "clementineloom/errors/result.h"
#include "net/http_client.h"

namespace clementineloom::net {

/// @brief Makes one HTTP call at a time and blocks until its answer arrives.
///
/// Thread safety: none; each duty has its own.
class BlockingHttpClient {
 public:
  /// @brief Starts the I/O thread. @param name at most 15 characters
  explicit BlockingHttpClient(const std::string& name, HttpClientOptions options = {});

  /// @brief Sends a request and waits for the complete response, whatever its status.
  /// Errors: those of ClientResult; the run state says whether it may have run.
  [[nodiscard]] Result<HttpResponse> Call(const std::string& address, HttpRequest request,
                                          std::chrono::milliseconds timeout);

 private:
  BoundedRing<ClientResult> results_{1};
  std::uint64_t last_call_ = 0;
  // Declared last, so that its thread ends before the ring is destroyed.
  HttpClient client_;
};

}  // namespace clementineloom::net
