#pragma once

#include <chrono>
#include <string>
#include <utility>

#include "clementineloom/concurrency/bounded_ring.h"
#include "net/http_client.h"

namespace clementineloom::testing_support {

/// @brief Sends one request at a time and waits for its result.
class HttpCaller {
 public:
  [[nodiscard]] net::ClientResult Call(
      const std::string& address, net::HttpRequest request,
      std::chrono::milliseconds timeout = std::chrono::seconds(10)) {
    (void)client_.Send({net::CallId(++last_call_), address, std::move(request), timeout});
    return *results_.Pop();
  }

 private:
  BoundedRing<net::ClientResult> results_{16};
  net::HttpClient client_{"test-caller", {}, [this](net::ClientResult result) {
                            (void)results_.Push(std::move(result));
                          }};
  std::uint64_t last_call_ = 0;
};

}  // namespace clementineloom::testing_support
