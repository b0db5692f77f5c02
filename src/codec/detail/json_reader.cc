#include "codec/detail/json_reader.h"

namespace clementineloom::codec::detail {
namespace {

auto WrongType(std::string_view key) { return Refuse(ResultCode::kWrongType, std::string(key)); }

}  // namespace

Result<JsonReader> JsonReader::Of(const boost::json::value& value) {
  if (!value.is_object()) {
    return Refuse(ResultCode::kWrongType, "object expected");
  }
  return JsonReader(value.get_object());
}

Result<const boost::json::value*> JsonReader::Find(std::string_view key) const {
  const boost::json::value* value = object_.if_contains(key);
  if (value == nullptr) {
    return Refuse(ResultCode::kMissingKey, std::string(key));
  }
  return value;
}

Result<std::string> JsonReader::String(std::string_view key) const {
  BOOST_LEAF_AUTO(value, Find(key));
  if (!value->is_string()) {
    return WrongType(key);
  }
  return std::string(value->get_string());
}

Result<bool> JsonReader::Bool(std::string_view key) const {
  BOOST_LEAF_AUTO(value, Find(key));
  if (!value->is_bool()) {
    return WrongType(key);
  }
  return value->get_bool();
}

Result<std::uint64_t> JsonReader::Unsigned(std::string_view key, std::uint64_t max) const {
  BOOST_LEAF_AUTO(value, Find(key));
  boost::system::error_code ec;
  const auto number = value->to_number<std::uint64_t>(ec);
  if (ec) {
    return WrongType(key);
  }
  if (number > max) {
    return Refuse(ResultCode::kOutOfRange, std::string(key));
  }
  return number;
}

Result<std::int64_t> JsonReader::Signed(std::string_view key) const {
  BOOST_LEAF_AUTO(value, Find(key));
  boost::system::error_code ec;
  const auto number = value->to_number<std::int64_t>(ec);
  if (ec) {
    return WrongType(key);
  }
  return number;
}

Result<JsonReader> JsonReader::Object(std::string_view key) const {
  BOOST_LEAF_AUTO(value, Find(key));
  if (!value->is_object()) {
    return WrongType(key);
  }
  return JsonReader(value->get_object());
}

Result<const boost::json::array*> JsonReader::Array(std::string_view key) const {
  BOOST_LEAF_AUTO(value, Find(key));
  if (!value->is_array()) {
    return WrongType(key);
  }
  return &value->get_array();
}

}  // namespace clementineloom::codec::detail
