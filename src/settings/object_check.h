#pragma once

#include <boost/json/object.hpp>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "settings/document.h"
#include "settings/key_spec.h"

namespace clementineloom::settings {

/// @brief Checks one object of a document against the rules of its keys.
///
/// Adds every problem to the list; the check does not stop at the first one.
/// Thread safety: none. The document and the list have to outlive it.
class ObjectCheck {
 public:
  /// @param path of the object, empty for the root
  ObjectCheck(const Document& document, std::string path, const boost::json::object& object,
              std::vector<Problem>& problems);

  /// @brief Checks presence, type, format and range of all keys, and that no other key exists.
  /// Problems: kUnknownKey, kWrongUnit, kMissingKey, kWrongType, kOutOfRange, kInvalidValue,
  /// kAddressNotNumeric, kDuplicateId (a list has an address twice).
  void Run(std::span<const KeySpec> specs);

  /// @brief Adds a problem at a key of the object.
  void Add(ResultCode code, std::string_view key, std::string message);

  /// @brief The path of a key of the object.
  [[nodiscard]] std::string PathOf(std::string_view key) const;

 private:
  void CheckKeys(std::span<const KeySpec> specs);
  void CheckValue(const KeySpec& spec, const boost::json::value& value);
  void CheckText(const KeySpec& spec, std::string_view text);
  void CheckNumber(const KeySpec& spec, const boost::json::value& value);
  void CheckDecimal(const KeySpec& spec, const boost::json::value& value);
  void CheckAddress(std::string_view key, const boost::json::value& value, std::uint16_t min_port);
  void CheckAddressList(const KeySpec& spec, const boost::json::value& value);

  const Document& document_;
  std::string path_;
  const boost::json::object& object_;
  std::vector<Problem>& problems_;
};

}  // namespace clementineloom::settings
