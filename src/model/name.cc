#include "clementineloom/model/name.h"

#include <algorithm>

namespace clementineloom {
namespace {

bool IsNameByte(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '.' ||
         c == '_' || c == '-';
}

}  // namespace

bool IsValidName(std::string_view name) {
  return !name.empty() && name.size() <= kMaxNameLength && std::ranges::all_of(name, IsNameByte);
}

}  // namespace clementineloom
