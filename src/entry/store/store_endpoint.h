#pragma once

#include <compare>
#include <string>

namespace clementineloom::entry {

/// @brief Address of a topic in the platform's store. An immutable value.
struct StoreEndpoint {
  /// IP:PORT.
  std::string address;
  std::string topic;

  friend auto operator<=>(const StoreEndpoint&, const StoreEndpoint&) = default;
};

}  // namespace clementineloom::entry
