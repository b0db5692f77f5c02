#pragma once

#include <cstdint>

namespace clementineloom::entry {

/// @brief Outcome of an order to a worker.
enum class OrderStatus : std::uint8_t {
  kDone,
  /// The worker has seen a higher fencing token.
  kFenced,
  /// The run, or a later one of its task, has already ended or was stopped there.
  kSuperseded,
  /// The lease in the order had already ended.
  kExpired,
  kNoRoom,
  kTicketRefused,
  /// Another incarnation of the worker answered; the order was not carried out.
  kOtherIncarnation,
  /// The worker refused the order and did nothing.
  kRefused,
  /// The order was not sent.
  kUnreachable,
  /// No answer; the order may have been carried out, or may still be.
  kUnknown,
};

}  // namespace clementineloom::entry
