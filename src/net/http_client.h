#pragma once

#include <functional>
#include <memory>
#include <string>

#include "net/client_call.h"
#include "net/client_result.h"
#include "net/http_client_options.h"

namespace clementineloom::net {

/// @brief An HTTP/1.1 client with one I/O thread and a pool of connections for each address.
///
/// A connection carries one exchange at a time, and one whose exchange did not end cleanly is
/// closed. The client does not retry. Every call that Send accepted gets one result, which is
/// passed to the sink on the I/O thread; the sink must not block.
///
/// Thread safety: Send may be called from any thread.
class HttpClient {
 public:
  using Sink = std::function<void(ClientResult)>;

  /// @brief Starts the I/O thread. @param name at most 15 characters
  HttpClient(const std::string& name, HttpClientOptions options, Sink sink);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /// @return false if the ring of calls is full; the call then did not run.
  [[nodiscard]] bool Send(ClientCall call);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace clementineloom::net
