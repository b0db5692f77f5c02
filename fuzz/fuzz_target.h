#pragma once

#include <cstddef>
#include <cstdint>

/// @brief Entry point that libFuzzer and the replay program call with one input.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size);
