#pragma once

#include <compare>
#include <cstdint>

#include "entry/store/append_status.h"

namespace clementineloom::entry {

/// @brief The store's answer to an append. An immutable value.
struct AppendAnswer {
  AppendStatus status = AppendStatus::kUnknown;
  /// Offset of the first record; set for kAppended.
  std::uint64_t offset = 0;

  friend auto operator<=>(const AppendAnswer&, const AppendAnswer&) = default;
};

}  // namespace clementineloom::entry
