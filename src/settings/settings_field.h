#pragma once

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <cstdint>
#include <sstream>
#include <string>
#include <type_traits>
#include <utility>
#include <variant>
#include <vector>

#include "settings/key_spec.h"

namespace clementineloom::settings {

/// @brief A key of a settings file and the member of S that it sets.
///
/// The default of an optional key is the member's initial value, so that documentation and
/// code agree.
template <class S>
struct SettingsField {
  using Member = std::variant<std::string S::*, std::uint32_t S::*, double S::*,
                              std::vector<std::string> S::*>;

  KeySpec spec;
  Member member;
};

namespace detail {

inline std::string FallbackText(const std::string& value) { return "\"" + value + "\""; }
inline std::string FallbackText(std::uint32_t value) { return std::to_string(value); }
inline std::string FallbackText(double value) {
  std::ostringstream text;
  text << value;
  return text.str();
}
inline std::string FallbackText(const std::vector<std::string>&) { return "[]"; }

inline void Assign(std::string& member, const boost::json::value& value) {
  member = value.get_string();
}

inline void Assign(std::uint32_t& member, const boost::json::value& value) {
  member = value.to_number<std::uint32_t>();
}

inline void Assign(double& member, const boost::json::value& value) {
  member = value.to_number<double>();
}

inline void Assign(std::vector<std::string>& member, const boost::json::value& value) {
  for (const boost::json::value& it : value.get_array()) {
    member.emplace_back(it.get_string());
  }
}

}  // namespace detail

/// @brief The rules of the fields, with their defaults filled in.
template <class S>
[[nodiscard]] std::vector<KeySpec> SpecsOf(const std::vector<SettingsField<S>>& fields) {
  const S defaults;
  std::vector<KeySpec> specs;
  for (const SettingsField<S>& it : fields) {
    KeySpec spec = it.spec;
    spec.fallback =
        std::visit([&](auto member) { return detail::FallbackText(defaults.*member); }, it.member);
    specs.push_back(std::move(spec));
  }
  return specs;
}

/// @brief Sets the members whose keys the object has.
/// Precondition: the object was checked against SpecsOf(fields) without a problem.
template <class S>
void AssignFields(const std::vector<SettingsField<S>>& fields, const boost::json::object& object,
                  S& settings) {
  for (const SettingsField<S>& it : fields) {
    if (const boost::json::value* value = object.if_contains(it.spec.key)) {
      std::visit([&](auto member) { detail::Assign(settings.*member, *value); }, it.member);
    }
  }
}

}  // namespace clementineloom::settings
