#pragma once

#include <compare>
#include <cstdint>
#include <optional>

#include "entry/worker/order_status.h"

namespace clementineloom::entry {

/// @brief A worker's answer to an order. An immutable value.
struct OrderAnswer {
  OrderStatus status = OrderStatus::kUnknown;
  /// The worker's clock when it answered; absent if the answer does not contain it.
  std::optional<std::int64_t> clock_ms;

  friend auto operator<=>(const OrderAnswer&, const OrderAnswer&) = default;
};

}  // namespace clementineloom::entry
