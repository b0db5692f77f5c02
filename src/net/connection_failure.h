#pragma once

#include <cstdint>

namespace clementineloom::net {

/// @brief What the connection of a call without an answer shows of its peer.
enum class ConnectionFailure : std::uint8_t {
  /// Nothing: the cause may be local, or in the network, or the peer is only slow.
  kNone,
  /// The peer closed the connection, as the end of its process does. A reset does not count, since
  /// the network may cause it.
  kClosedByPeer,
  /// The connection was refused: no process listens at the address.
  kRefused,
  /// The attempt to connect had no answer.
  kUnreachable,
};

}  // namespace clementineloom::net
