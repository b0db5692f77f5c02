#pragma once

#include <compare>
#include <cstdint>
#include <string>

#include "clementineloom/errors/result.h"

namespace clementineloom {

/// @brief A machine that runs tasks and serves requests, as the instance list names it.
///
/// Thread safety: an immutable value.
class Worker {
 public:
  struct Fields {
    std::string name;
    /// Numeric IP address and port, for example "127.0.0.1:8080".
    std::string address;
    std::string data_centre;
    std::string rack;
    std::uint16_t accelerators = 8;
    std::uint16_t slots = 8;
    std::uint16_t connections = 64;

    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// @brief Checks the fields and creates the worker.
  /// Errors: kInvalidValue (a name), kOutOfRange (a capacity is 0).
  [[nodiscard]] static Result<Worker> Create(Fields fields);

  [[nodiscard]] const std::string& name() const { return fields_.name; }
  [[nodiscard]] const std::string& address() const { return fields_.address; }
  [[nodiscard]] const std::string& data_centre() const { return fields_.data_centre; }
  [[nodiscard]] const std::string& rack() const { return fields_.rack; }
  [[nodiscard]] std::uint16_t accelerators() const { return fields_.accelerators; }
  [[nodiscard]] std::uint16_t slots() const { return fields_.slots; }
  [[nodiscard]] std::uint16_t connections() const { return fields_.connections; }

  friend auto operator<=>(const Worker&, const Worker&) = default;

 private:
  explicit Worker(Fields fields) : fields_(std::move(fields)) {}

  Fields fields_;
};

}  // namespace clementineloom
