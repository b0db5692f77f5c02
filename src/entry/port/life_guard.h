#pragma once

#include <memory>
#include <utility>

namespace clementineloom::entry {

/// @brief Wraps handlers that must not run once their owner is destroyed.
///
/// A member of the owner; handlers that outlive it do nothing.
/// Thread safety: none; use from one thread.
class LifeGuard {
 public:
  /// @brief A copy of the handler that does nothing once this guard is gone.
  template <class Handler>
  [[nodiscard]] auto Wrap(Handler handler) const {
    return
        [alive = std::weak_ptr<const bool>(alive_), handler = std::move(handler)](auto&&... args) {
          if (!alive.expired()) {
            handler(std::forward<decltype(args)>(args)...);
          }
        };
  }

  /// @brief Lets a function that calls foreign code see whether it destroyed the owner.
  [[nodiscard]] std::weak_ptr<const bool> watch() const { return alive_; }

 private:
  std::shared_ptr<const bool> alive_ = std::make_shared<const bool>(true);
};

}  // namespace clementineloom::entry
