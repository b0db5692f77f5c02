#pragma once

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <iterator>
#include <string>
#include <utility>
#include <vector>

#include "entry/port/call_port.h"
#include "entry/port/lifetime_guard.h"
#include "entry/store/append_answer.h"
#include "entry/store/append_order.h"
#include "entry/store/append_timeout.h"
#include "entry/store/appender_options.h"
#include "entry/store/store_endpoint.h"
#include "logging/event_log.h"

namespace clementineloom::entry {

/// @brief Appends groups of records in order and exactly once, with one call in flight at a time.
///
/// Waiting groups are batched into one call. A call without an answer is repeated with the same
/// sequence number, which the store accepts once, until the outcome is known or the append is given
/// up. The outcome of a group is kAppended, kFenced or kOutOfSequence; also kUnknown where appends
/// are given up, and kRefused where they are given up or refusals are not retried.
/// Thread safety: none; use from the thread of the port. The results of calls that are in flight
/// when the appender is destroyed are ignored.
template <class Platform, CallPort Port>
class Appender {
 public:
  using Done = std::function<void(AppendStatus)>;

  Appender(Port& port, StoreEndpoint endpoint, AppenderOptions options)
      : port_(port),
        endpoint_(std::move(endpoint)),
        options_(std::move(options)),
        epoch_(options_.epoch),
        sequence_(options_.first_sequence) {}

  /// @brief Adds a group; done runs once the outcome is known, never before Append returns.
  void Append(std::vector<workload::KeyedValue> items, Done done) {
    waiting_.push_back({std::move(items), std::move(done)});
    if (!is_busy_) {
      is_busy_ = true;
      // Deferred, so that groups added in the same turn of the event loop share a call.
      After(workload::Milliseconds(0), [this] { SendNext(); });
    }
  }

  /// @brief Number of groups whose outcome is not known yet.
  [[nodiscard]] std::size_t backlog() const { return waiting_.size() + in_flight_.size(); }

  /// @brief When the last call that the store accepted was sent: at that time the store had seen no
  /// higher epoch. The time of the answer would not do, since answers wait while the process is
  /// suspended.
  [[nodiscard]] workload::SteadyTime confirmed_at() const { return confirmed_at_; }

  /// @brief Whether the last call of the append in flight was refused, or two of its calls failed.
  /// A single call without an answer shows only that the store has become slower.
  [[nodiscard]] bool is_failing() const { return is_busy_ && (is_refused_ || failures_ > 1); }

 private:
  static constexpr workload::Milliseconds kFirstRetryDelay{50};
  static constexpr workload::Milliseconds kMaxRetryDelay{400};

  struct Group {
    std::vector<workload::KeyedValue> items;
    Done done;
  };

  static std::size_t BytesOf(const Group& group) {
    std::size_t bytes = 0;
    for (const workload::KeyedValue& it : group.items) {
      bytes += it.key.size() + it.value.size();
    }
    return bytes;
  }

  void SendNext() {
    if (waiting_.empty()) {
      is_busy_ = false;
      return;
    }
    AppendOrder order;
    std::size_t bytes = 0;
    while (!waiting_.empty()) {
      bytes += BytesOf(waiting_.front());
      if (!in_flight_.empty() && bytes > options_.max_batch_bytes) {
        break;
      }
      Group group = std::move(waiting_.front());
      waiting_.pop_front();
      std::move(group.items.begin(), group.items.end(), std::back_inserter(order.items));
      in_flight_.push_back(std::move(group));
    }
    if (order.items.empty()) {
      // The store does not advance the sequence for an append without records, so none is sent.
      Finish(AppendStatus::kAppended, 0);
      return;
    }
    order.producer = options_.producer;
    order.epoch = epoch_;
    order.sequence = sequence_;
    order_ = std::move(order);
    is_outcome_open_ = false;
    is_refused_ = false;
    failures_ = 0;
    first_sent_at_ = port_.Now();
    Send();
  }

  void Send() {
    sent_at_ = port_.Now();
    port_.Call(endpoint_.address, Platform::AppendRequest(endpoint_.topic, order_),
               timeout_.length(), lifetime_.Wrap([this](const net::ClientResult& result) {
                 OnAnswer(Platform::ParseAppend(result));
               }));
  }

  void OnAnswer(const AppendAnswer& answer) {
    const bool is_open =
        answer.status == AppendStatus::kUnknown ||
        (answer.status == AppendStatus::kRefused && (is_outcome_open_ || options_.retries_refused));
    if (answer.status == AppendStatus::kAppended) {
      confirmed_at_ = sent_at_;
      timeout_ =
          timeout_.WithAnswer(std::chrono::ceil<workload::Milliseconds>(port_.Now() - sent_at_));
    }
    if (!is_open) {
      Finish(answer.status, 1);
      return;
    }
    is_refused_ = answer.status == AppendStatus::kRefused;
    if (answer.status == AppendStatus::kUnknown) {
      is_outcome_open_ = true;
      timeout_ = timeout_.WithoutAnswer();
    }
    if (options_.give_up_after && port_.Now() - first_sent_at_ >= *options_.give_up_after) {
      GiveUp();
      return;
    }
    if (failures_++ == 0) {
      logging::LogEvent(logging::LogLevel::kWarning, "append_retry",
                        {{"topic", endpoint_.topic},
                         {"producer", options_.producer},
                         {"sequence", order_.sequence},
                         {"may_have_run", is_outcome_open_ ? 1 : 0}});
    }
    const auto delay = kFirstRetryDelay * (1 << std::min<std::uint32_t>(failures_ - 1, 3U));
    After(std::min<workload::Milliseconds>(delay, kMaxRetryDelay), [this] { Send(); });
  }

  // Groups that were not sent yet certainly have no effect, so that they get kRefused.
  void GiveUp() {
    logging::LogEvent(logging::LogLevel::kWarning, "append_given_up",
                      {{"topic", endpoint_.topic},
                       {"producer", options_.producer},
                       {"waiting", waiting_.size()}});
    ++epoch_;
    sequence_ = options_.first_sequence;
    is_refused_ = false;
    failures_ = 0;
    std::deque<Group> unsent = std::exchange(waiting_, {});
    const auto alive = lifetime_.watch();
    for (const Group& it : unsent) {
      it.done(AppendStatus::kRefused);
      if (alive.expired()) {
        return;
      }
    }
    Finish(AppendStatus::kUnknown, 0);
  }

  // Reports the outcome of a call to its groups. @param numbers sequence numbers that the call used
  void Finish(AppendStatus status, std::uint64_t numbers) {
    if (status == AppendStatus::kAppended) {
      sequence_ += numbers;
    }
    std::vector<Group> finished = std::move(in_flight_);
    in_flight_.clear();
    const auto alive = lifetime_.watch();
    for (const Group& it : finished) {
      it.done(status);
      if (alive.expired()) {
        return;
      }
    }
    SendNext();
  }

  void After(workload::Milliseconds delay, std::function<void()> action) {
    port_.After(delay, lifetime_.Wrap(std::move(action)));
  }

  Port& port_;
  const StoreEndpoint endpoint_;
  const AppenderOptions options_;
  std::uint64_t epoch_;
  std::uint64_t sequence_;
  std::deque<Group> waiting_;
  std::vector<Group> in_flight_;
  AppendOrder order_;
  bool is_busy_ = false;
  // Whether the append in flight may already have been carried out.
  bool is_outcome_open_ = false;
  // Whether the last answer to it was a refusal, and the number of calls that failed.
  bool is_refused_ = false;
  std::uint32_t failures_ = 0;
  AppendTimeout timeout_;
  workload::SteadyTime first_sent_at_;
  // When the call in flight was sent.
  workload::SteadyTime sent_at_;
  workload::SteadyTime confirmed_at_;
  LifetimeGuard lifetime_;
};

}  // namespace clementineloom::entry
