#pragma once

#include <cstdint>

#include "clementineloom/model/id.h"

namespace clementineloom {

/// @brief A job's id: the offset of the record that submitted it.
using JobId = Id<struct JobIdTag, std::uint64_t>;

}  // namespace clementineloom
