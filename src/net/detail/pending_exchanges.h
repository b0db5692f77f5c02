#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <utility>

#include "net/exchange_id.h"
#include "net/http_response.h"
#include "net/server_answer.h"

namespace clementineloom::net::detail {

/// @brief The exchanges of a server that wait for their answer.
/// Thread safety: none; use from the thread of the I/O context.
class PendingExchanges {
 public:
  /// Precondition: the context outlives the exchanges.
  explicit PendingExchanges(boost::asio::io_context& context) : context_(context) {}

  /// @brief Begins an exchange, and waits for its answer if it was accepted.
  /// @param accept gets the id of the exchange; returns false if nobody will answer it
  /// @return the answer, or nothing if the exchange was not accepted
  template <class Accept>
  boost::asio::awaitable<std::optional<HttpResponse>> Wait(Accept accept) {
    const ExchangeId id(++last_id_);
    Pending pending{
        boost::asio::steady_timer(context_, boost::asio::steady_timer::time_point::max()),
        std::nullopt};
    const Entry entry(pending_, id, pending);
    if (!accept(id)) {
      co_return std::nullopt;
    }
    while (!pending.response) {
      boost::system::error_code ec;
      co_await pending.answered.async_wait(
          boost::asio::redirect_error(boost::asio::use_awaitable, ec));
    }
    co_return std::move(pending.response);
  }

  /// @brief Ends the wait for an answer. An answer that is not waited for is dropped.
  void Deliver(ServerAnswer answer) {
    const auto it = pending_.find(answer.id);
    if (it == pending_.end()) {
      return;
    }
    it->second->response.emplace(std::move(answer.response));
    it->second->answered.cancel();
    pending_.erase(it);
  }

 private:
  // Stored in the frame of the coroutine that waits.
  struct Pending {
    boost::asio::steady_timer answered;
    std::optional<HttpResponse> response;
  };

  using PendingById = std::unordered_map<ExchangeId, Pending*>;

  // An entry of the map that does not outlive the frame to which it points, also if an exception
  // ends the frame.
  class Entry {
   public:
    Entry(PendingById& pending, ExchangeId id, Pending& exchange) : pending_(pending), id_(id) {
      pending_.emplace(id, &exchange);
    }
    ~Entry() { pending_.erase(id_); }
    Entry(const Entry&) = delete;
    Entry& operator=(const Entry&) = delete;

   private:
    PendingById& pending_;
    const ExchangeId id_;
  };

  boost::asio::io_context& context_;
  PendingById pending_;
  std::uint64_t last_id_ = 0;
};

}  // namespace clementineloom::net::detail
