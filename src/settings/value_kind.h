#pragma once

#include <cstdint>
#include <string_view>

namespace clementineloom::settings {

/// @brief Type and format of the value of a key in a settings file or cluster document.
enum class ValueKind : std::uint8_t {
  kText,
  /// 1 to 64 bytes of a-z, A-Z, 0-9, '.', '_' and '-'.
  kName,
  /// IP:PORT with a port other than 0.
  kAddress,
  /// IP:PORT; the kernel chooses a port for 0.
  kListenAddress,
  /// At least one address.
  kAddressList,
  kLogLevel,
  kAdjacency,
  kNumber,
  /// A number that may have decimals.
  kDecimal,
  kBool,
  kObject,
  kObjectList
};

/// @brief The name of a kind in docs/configuration.md and in error messages.
[[nodiscard]] constexpr std::string_view ValueKindName(ValueKind kind) {
  switch (kind) {
    case ValueKind::kText:
      return "text";
    case ValueKind::kName:
      return "name";
    case ValueKind::kAddress:
      return "IP:PORT";
    case ValueKind::kListenAddress:
      return "IP:PORT to listen on";
    case ValueKind::kAddressList:
      return "list of IP:PORT";
    case ValueKind::kLogLevel:
      return "log level";
    case ValueKind::kAdjacency:
      return "adjacency";
    case ValueKind::kNumber:
      return "whole number";
    case ValueKind::kDecimal:
      return "number";
    case ValueKind::kBool:
      return "true or false";
    case ValueKind::kObject:
      return "object";
    case ValueKind::kObjectList:
      return "list of objects";
  }
  return "";
}

}  // namespace clementineloom::settings
