#pragma once

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/value.hpp>
#include <cstdint>
#include <limits>
#include <string>
#include <string_view>

#include "clementineloom/errors/result.h"

namespace clementineloom::codec::detail {

/// @brief Reads typed members of a JSON object; every error names the key.
///
/// The object has to outlive the reader.
class JsonReader {
 public:
  explicit JsonReader(const boost::json::object& object) : object_(object) {}

  /// @brief Reader of a value that has to be an object. Errors: kWrongType.
  [[nodiscard]] static Result<JsonReader> Of(const boost::json::value& value);

  [[nodiscard]] bool Has(std::string_view key) const { return object_.contains(key); }

  /// Errors of the following: kMissingKey, kWrongType, kOutOfRange.
  [[nodiscard]] Result<std::string> String(std::string_view key) const;
  [[nodiscard]] Result<bool> Bool(std::string_view key) const;
  [[nodiscard]] Result<std::uint64_t> Unsigned(std::string_view key, std::uint64_t max) const;
  [[nodiscard]] Result<std::int64_t> Signed(std::string_view key) const;
  [[nodiscard]] Result<JsonReader> Object(std::string_view key) const;
  [[nodiscard]] Result<const boost::json::array*> Array(std::string_view key) const;

  /// @brief An unsigned number of the given type.
  template <class T>
  [[nodiscard]] Result<T> Number(std::string_view key) const {
    BOOST_LEAF_AUTO(value, Unsigned(key, std::numeric_limits<T>::max()));
    return static_cast<T>(value);
  }

 private:
  [[nodiscard]] Result<const boost::json::value*> Find(std::string_view key) const;

  const boost::json::object& object_;
};

}  // namespace clementineloom::codec::detail
