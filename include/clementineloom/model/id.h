#pragma once

#include <compare>
#include <cstddef>
#include <functional>

namespace clementineloom {

/// @brief A number that identifies one kind of object; ids of different kinds do not mix.
template <class Tag, class Rep>
class Id {
 public:
  using rep = Rep;

  constexpr Id() = default;
  constexpr explicit Id(Rep value) : value_(value) {}

  [[nodiscard]] constexpr Rep value() const { return value_; }

  friend constexpr auto operator<=>(const Id&, const Id&) = default;

 private:
  Rep value_ = 0;
};

}  // namespace clementineloom

template <class Tag, class Rep>
struct std::hash<clementineloom::Id<Tag, Rep>> {
  std::size_t operator()(const clementineloom::Id<Tag, Rep>& id) const noexcept {
    return std::hash<Rep>{}(id.value());
  }
};
