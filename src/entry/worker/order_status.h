#pragma once

#include <cstdint>

namespace clementineloom::entry {

/// @brief What became of an order to a worker.
enum class OrderStatus : std::uint8_t {
  kDone,
  /// The worker has seen a higher fencing token.
  kFenced,
  /// The run, or a later one, has ended or was stopped there.
  kSuperseded,
  /// The lease that the order carried was over already.
  kExpired,
  kNoRoom,
  kTicketRefused,
  /// Another life of the worker answered; the order was not carried out.
  kOtherIncarnation,
  /// The worker did nothing.
  kRefused,
  /// Nothing was sent.
  kUnreachable,
  /// No answer; the order may have been or may still be carried out.
  kUnknown,
};

}  // namespace clementineloom::entry
