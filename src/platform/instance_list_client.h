#pragma once

#include <chrono>
#include <string>

#include "clementineloom/errors/result.h"
#include "net/blocking_http_client.h"
#include "platform/instance_list.h"

namespace clementineloom::platform {

/// @brief Client of the platform's instance list (docs/platform-protocol.md).
///
/// Thread safety: none; each duty has its own.
class InstanceListClient {
 public:
  /// @param thread_name of the I/O thread, at most 15 characters
  /// @param address IP:PORT
  /// @param timeout of each call
  InstanceListClient(const std::string& thread_name, std::string address,
                     std::chrono::milliseconds timeout);

  /// @brief Fetches the platform's current list, which lags behind the state of the instances.
  /// Errors: kInstanceListUnavailable (no answer or a malformed one).
  [[nodiscard]] Result<InstanceList> Fetch();

 private:
  net::BlockingHttpClient http_;
  std::string address_;
  std::chrono::milliseconds timeout_;
};

}  // namespace clementineloom::platform
