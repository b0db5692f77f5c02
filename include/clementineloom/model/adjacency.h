#pragma once

#include <cstdint>

namespace clementineloom {

/// @brief The smallest part of the hierarchy that has to hold all workers of a gang.
enum class Adjacency : std::uint8_t { kWorker, kRack, kDataCentre };

}  // namespace clementineloom
