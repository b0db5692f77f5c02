#pragma once

#include <string>

namespace clementineloom::net {

/// @brief A header field; names are case-insensitive. An immutable value.
struct HttpHeader {
  std::string name;
  std::string value;

  friend auto operator<=>(const HttpHeader&, const HttpHeader&) = default;
};

}  // namespace clementineloom::net
