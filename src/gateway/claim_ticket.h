#pragma once

#include <compare>
#include <string>

namespace clementineloom::gateway {

/// @brief The claim under which a request runs. An immutable value.
struct ClaimTicket {
  /// Id of the RequestClaimed record.
  std::string claim;

  friend auto operator<=>(const ClaimTicket&, const ClaimTicket&) = default;
};

}  // namespace clementineloom::gateway
