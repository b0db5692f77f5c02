#pragma once

#include <string_view>

namespace clementineloom::gateway {

inline constexpr std::string_view kControlStream = "control";
inline constexpr std::string_view kClaimsStream = "claims";

}  // namespace clementineloom::gateway
