#pragma once

#include <cstdint>
#include <string_view>

namespace clementineloom::codec {

/// @brief CRC-32 of a text. Thread safety: pure function.
[[nodiscard]] std::uint32_t Crc32(std::string_view text);

}  // namespace clementineloom::codec
