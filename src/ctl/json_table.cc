#include "ctl/json_table.h"

#include <algorithm>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <utility>

namespace clementineloom::ctl {
namespace {

namespace json = boost::json;

constexpr std::string_view kNoValue = "-";

// Elements of a list are joined by commas.
std::string TextOf(const json::value& value) {
  if (value.is_null()) {
    return std::string(kNoValue);
  }
  if (value.is_string()) {
    const std::string_view text = value.get_string();
    return std::string(text.empty() ? kNoValue : text);
  }
  if (!value.is_array()) {
    return json::serialize(value);
  }
  std::string text;
  for (const json::value& it : value.get_array()) {
    text += (text.empty() ? "" : ",") + TextOf(it);
  }
  return text.empty() ? std::string(kNoValue) : text;
}

}  // namespace

std::string CellOf(const json::value& value, std::string_view path) {
  const json::value* current = &value;
  while (!path.empty()) {
    const std::string_view key = path.substr(0, path.find('.'));
    path.remove_prefix(std::min(path.size(), key.size() + 1));
    current = current->is_object() ? current->get_object().if_contains(key) : nullptr;
    if (current == nullptr) {
      return std::string(kNoValue);
    }
  }
  return TextOf(*current);
}

Table TableOf(const json::array& array, std::span<const Column> columns) {
  Table table;
  for (const Column& it : columns) {
    table.header.emplace_back(it.header);
  }
  for (const json::value& element : array) {
    std::vector<std::string> row;
    row.reserve(columns.size());
    for (const Column& it : columns) {
      row.push_back(CellOf(element, it.path));
    }
    table.rows.push_back(std::move(row));
  }
  return table;
}

}  // namespace clementineloom::ctl
