#pragma once

#include <compare>
#include <cstdint>

namespace clementineloom::net {

/// @brief Numbers of requests of a server since its start, by RequestOutcome. An immutable value.
struct RequestCounts {
  /// Requests read, including those that the server refused because they could not be read.
  std::uint64_t read = 0;
  std::uint64_t answered = 0;
  std::uint64_t refused = 0;
  std::uint64_t unwritten = 0;
  std::uint64_t discarded = 0;
  std::uint64_t cut_off = 0;
  /// Requests of which a part has been received; not included in read.
  std::uint64_t receiving = 0;

  /// @brief Requests read that have no outcome yet.
  [[nodiscard]] constexpr std::uint64_t waiting() const {
    return read - answered - refused - unwritten - discarded - cut_off;
  }

  friend auto operator<=>(const RequestCounts&, const RequestCounts&) = default;
};

}  // namespace clementineloom::net
