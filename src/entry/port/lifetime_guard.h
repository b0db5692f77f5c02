#pragma once

#include <memory>
#include <utility>

namespace clementineloom::entry {

/// @brief Disables handlers once the object that contains the guard is destroyed.
///
/// To be used as a member; wrapped handlers that outlive it do nothing.
/// Thread safety: none; use from one thread.
class LifetimeGuard {
 public:
  /// @brief Wraps a handler so that it does nothing once this guard is destroyed.
  template <class Handler>
  [[nodiscard]] auto Wrap(Handler handler) const {
    return
        [alive = std::weak_ptr<const bool>(alive_), handler = std::move(handler)](auto&&... args) {
          if (!alive.expired()) {
            handler(std::forward<decltype(args)>(args)...);
          }
        };
  }

  /// @brief A pointer that expires with this guard, so that a member function can detect whether a
  /// callback has destroyed its object.
  [[nodiscard]] std::weak_ptr<const bool> watch() const { return alive_; }

 private:
  std::shared_ptr<const bool> alive_ = std::make_shared<const bool>(true);
};

}  // namespace clementineloom::entry
