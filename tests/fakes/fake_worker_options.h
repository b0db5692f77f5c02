#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace clementineloom::fakes {

/// @brief Settings of a FakeWorkerServer.
struct FakeWorkerOptions {
  /// IP:PORT; port 0 lets the kernel choose.
  std::string listen = "127.0.0.1:0";
  std::string name = "worker";
  std::uint16_t accelerators = 8;

  friend auto operator<=>(const FakeWorkerOptions&, const FakeWorkerOptions&) = default;
};

}  // namespace clementineloom::fakes
