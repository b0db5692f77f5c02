#include "settings/object_check.h"

#include <algorithm>
#include <array>
#include <boost/asio/ip/address.hpp>
#include <boost/json/array.hpp>
#include <charconv>
#include <cstdint>
#include <set>
#include <utility>

#include "clementineloom/model/name.h"
#include "codec/detail/enum_names.h"

namespace clementineloom::settings {
namespace {

namespace json = boost::json;

constexpr std::array<std::string_view, 18> kUnitSuffixes{
    "ms", "s",     "sec", "secs", "seconds", "us", "min",     "minutes", "h",
    "kb", "bytes", "mb",  "kib",  "mib",     "gb", "percent", "records", "pct"};
constexpr std::array<std::string_view, 4> kLogLevels{"debug", "info", "warning", "error"};

constexpr std::uint16_t kMinListenPort = 0;  // The kernel chooses a port for 0.
constexpr std::uint16_t kMinPort = 1;

// Returns a key without its unit suffix: "lease" for "lease_ms".
std::string_view WithoutUnitSuffix(std::string_view key) {
  const std::size_t n = key.rfind('_');
  if (n == std::string_view::npos) {
    return key;
  }
  const bool has_unit = std::ranges::find(kUnitSuffixes, key.substr(n + 1)) != kUnitSuffixes.end();
  return has_unit ? key.substr(0, n) : key;
}

const KeySpec* FindWithOtherUnit(std::span<const KeySpec> specs, std::string_view key) {
  const auto it = std::ranges::find_if(specs, [key](const KeySpec& spec) {
    return spec.kind == ValueKind::kNumber && !spec.unit.empty() &&
           WithoutUnitSuffix(spec.key) == WithoutUnitSuffix(key);
  });
  return it == specs.end() ? nullptr : &*it;
}

// Returns why a text is not a valid IP:PORT; empty if it is valid.
std::string_view AddressError(std::string_view text, std::uint16_t min_port) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return "has no port";
  }
  std::string_view host = text.substr(0, colon);
  if (host.starts_with('[') && host.ends_with(']')) {
    host = host.substr(1, host.size() - 2);
  }
  boost::system::error_code ec;
  boost::asio::ip::make_address(std::string(host), ec);
  if (ec) {
    return "is not an IP number; names are not resolved";
  }
  const std::string_view digits = text.substr(colon + 1);
  const char* end = digits.data() + digits.size();
  std::uint16_t port = 0;
  const auto parsed = std::from_chars(digits.data(), end, port);
  const bool is_port = parsed.ec == std::errc{} && parsed.ptr == end && port >= min_port;
  return is_port ? "" : "has no port between 1 and 65535";
}

std::string RangeText(const KeySpec& spec) {
  return std::to_string(spec.min) + " to " + std::to_string(spec.max) + " " +
         std::string(spec.unit);
}

}  // namespace

ObjectCheck::ObjectCheck(const Document& document, std::string path, const json::object& object,
                         std::vector<Problem>& problems)
    : document_(document), path_(std::move(path)), object_(object), problems_(problems) {}

void ObjectCheck::Run(std::span<const KeySpec> specs) {
  CheckKeys(specs);
  for (const KeySpec& it : specs) {
    const json::value* value = object_.if_contains(it.key);
    if (value != nullptr) {
      CheckValue(it, *value);
    } else if (it.is_required) {
      Add(ResultCode::kMissingKey, it.key, "the key is required");
    }
  }
}

void ObjectCheck::Add(ResultCode code, std::string_view key, std::string message) {
  problems_.push_back(document_.ProblemAt(code, PathOf(key), std::move(message)));
}

std::string ObjectCheck::PathOf(std::string_view key) const {
  return path_.empty() ? std::string(key) : path_ + "." + std::string(key);
}

void ObjectCheck::CheckKeys(std::span<const KeySpec> specs) {
  for (const auto& it : object_) {
    const std::string_view key = it.key();
    if (std::ranges::find(specs, key, &KeySpec::key) != specs.end()) {
      continue;
    }
    if (const KeySpec* spec = FindWithOtherUnit(specs, key)) {
      Add(ResultCode::kWrongUnit, key, "write " + std::string(spec->key) + " in its unit");
    } else {
      Add(ResultCode::kUnknownKey, key, "the key is not known here");
    }
  }
}

void ObjectCheck::CheckValue(const KeySpec& spec, const json::value& value) {
  bool has_type = false;
  switch (spec.kind) {
    case ValueKind::kText:
    case ValueKind::kName:
    case ValueKind::kLogLevel:
    case ValueKind::kAdjacency:
      has_type = value.is_string();
      break;
    case ValueKind::kAddress:
      return CheckAddress(spec.key, value, kMinPort);
    case ValueKind::kListenAddress:
      return CheckAddress(spec.key, value, kMinListenPort);
    case ValueKind::kAddressList:
      return CheckAddressList(spec, value);
    case ValueKind::kNumber:
      return CheckNumber(spec, value);
    case ValueKind::kDecimal:
      return CheckDecimal(spec, value);
    case ValueKind::kBool:
      has_type = value.is_bool();
      break;
    case ValueKind::kObject:
      has_type = value.is_object();
      break;
    case ValueKind::kObjectList:
      has_type = value.is_array();
      break;
  }
  if (!has_type) {
    Add(ResultCode::kWrongType, spec.key, std::string(ValueKindName(spec.kind)) + " expected");
  } else if (value.is_string()) {
    CheckText(spec, value.get_string());
  }
}

void ObjectCheck::CheckText(const KeySpec& spec, std::string_view text) {
  if (spec.kind == ValueKind::kName && text.size() > kMaxNameLength) {
    Add(ResultCode::kOutOfRange, spec.key,
        "the name is longer than " + std::to_string(kMaxNameLength) + " bytes");
  } else if (spec.kind == ValueKind::kName && !IsValidName(text)) {
    Add(ResultCode::kInvalidValue, spec.key, "a name is made of a-z, A-Z, 0-9, '.', '_' and '-'");
  } else if (spec.kind == ValueKind::kLogLevel &&
             std::ranges::find(kLogLevels, text) == kLogLevels.end()) {
    Add(ResultCode::kInvalidValue, spec.key, "debug, info, warning or error expected");
  } else if (spec.kind == ValueKind::kAdjacency) {
    const auto& names = codec::detail::EnumNames<Adjacency>::kNames;
    if (std::ranges::find(names, text) == names.end()) {
      Add(ResultCode::kInvalidValue, spec.key, "worker, rack or data_centre expected");
    }
  }
}

void ObjectCheck::CheckNumber(const KeySpec& spec, const json::value& value) {
  if (value.is_string() && !spec.unit.empty()) {
    Add(ResultCode::kWrongUnit, spec.key, "a number without its unit expected");
    return;
  }
  if (value.is_int64() && value.get_int64() < 0) {
    Add(ResultCode::kOutOfRange, spec.key, RangeText(spec) + " expected");
    return;
  }
  if (!value.is_int64() && !value.is_uint64()) {
    Add(ResultCode::kWrongType, spec.key, "whole number expected");
    return;
  }
  const std::uint64_t number =
      value.is_uint64() ? value.get_uint64() : static_cast<std::uint64_t>(value.get_int64());
  if (number < spec.min || number > spec.max) {
    Add(ResultCode::kOutOfRange, spec.key, RangeText(spec) + " expected");
  }
}

void ObjectCheck::CheckDecimal(const KeySpec& spec, const json::value& value) {
  if (!value.is_number()) {
    Add(ResultCode::kWrongType, spec.key, "number expected");
    return;
  }
  const double number = value.to_number<double>();
  if (number < static_cast<double>(spec.min) || number > static_cast<double>(spec.max)) {
    Add(ResultCode::kOutOfRange, spec.key, RangeText(spec) + " expected");
  }
}

void ObjectCheck::CheckAddress(std::string_view key, const json::value& value,
                               std::uint16_t min_port) {
  if (!value.is_string()) {
    Add(ResultCode::kWrongType, key, "IP:PORT expected");
    return;
  }
  const std::string text(value.get_string());
  if (const std::string_view error = AddressError(text, min_port); !error.empty()) {
    Add(ResultCode::kAddressNotNumeric, key, text + " " + std::string(error));
  }
}

void ObjectCheck::CheckAddressList(const KeySpec& spec, const json::value& value) {
  if (!value.is_array()) {
    Add(ResultCode::kWrongType, spec.key, "list of IP:PORT expected");
    return;
  }
  if (value.get_array().empty()) {
    Add(ResultCode::kOutOfRange, spec.key, "the list is empty");
  }
  std::set<std::string_view> seen;
  std::size_t n = 0;
  for (const json::value& it : value.get_array()) {
    const std::string key = std::string(spec.key) + "[" + std::to_string(n++) + "]";
    CheckAddress(key, it, kMinPort);
    if (it.is_string() && !seen.insert(it.get_string()).second) {
      Add(ResultCode::kDuplicateId, key, "the address stands twice in the list");
    }
  }
}

}  // namespace clementineloom::settings
