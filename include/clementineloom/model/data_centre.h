#pragma once

#include <compare>
#include <string>

#include "clementineloom/errors/result.h"

namespace clementineloom {

/// @brief A data centre and whether operators have it in service. An immutable value.
class DataCentre {
 public:
  struct Fields {
    std::string name;
    std::string region;
    bool in_service = true;

    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// @brief Checks the names and creates the data centre. Errors: kInvalidValue.
  [[nodiscard]] static Result<DataCentre> Create(Fields fields);

  [[nodiscard]] const std::string& name() const { return fields_.name; }
  [[nodiscard]] const std::string& region() const { return fields_.region; }
  [[nodiscard]] bool in_service() const { return fields_.in_service; }

  friend auto operator<=>(const DataCentre&, const DataCentre&) = default;

 private:
  explicit DataCentre(Fields fields) : fields_(std::move(fields)) {}

  Fields fields_;
};

}  // namespace clementineloom
