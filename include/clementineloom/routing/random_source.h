#pragma once

#include <concepts>
#include <cstdint>
#include <random>

namespace clementineloom {

/// @brief A source of uniformly distributed numbers, such as std::mt19937_64.
template <class T>
concept RandomSource = std::uniform_random_bit_generator<T>;

}  // namespace clementineloom
