#pragma once

#include <cstdint>

#include "clementineloom/model/id.h"

namespace clementineloom::net {

/// @brief Number that a user of HttpClient gives a call, to match it with its result.
using CallId = Id<struct CallIdTag, std::uint64_t>;

}  // namespace clementineloom::net
