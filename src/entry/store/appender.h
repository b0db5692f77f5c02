#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <iterator>
#include <string>
#include <utility>
#include <vector>

#include "entry/port/call_port.h"
#include "entry/port/life_guard.h"
#include "entry/store/append_answer.h"
#include "entry/store/append_order.h"
#include "entry/store/appender_options.h"
#include "entry/store/store_endpoint.h"
#include "logging/event_log.h"

namespace clementineloom::entry {

/// @brief Appends groups of records in order, one call at a time, each group once.
///
/// Groups that wait are sent in one call. A call without an answer is repeated under its number,
/// which the store takes once, until the outcome is known or the append is given up. The outcome of
/// a group is one of kAppended, kFenced, kOutOfSequence, where appends are given up kUnknown and,
/// unless refused appends are retried, kRefused.
/// Thread safety: none; use from the thread of the port. Calls that are on their way when the
/// appender is destroyed are ignored.
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
      // Lets the groups of this turn of the loop share a call.
      After(workload::Milliseconds(0), [this] { SendNext(); });
    }
  }

  /// @brief Groups whose outcome is not known yet.
  [[nodiscard]] std::size_t backlog() const { return waiting_.size() + in_flight_.size(); }

  /// @brief When the newest call that the store took had been sent: the store had seen no higher
  /// epoch then. An answer may be much younger, as it waits while the process is suspended.
  [[nodiscard]] workload::SteadyTime confirmed_at() const { return confirmed_at_; }

  /// @brief Whether the append on its way had to be sent again.
  [[nodiscard]] bool is_stuck() const { return is_busy_ && failures_ > 0; }

 private:
  static constexpr workload::Milliseconds kCallTimeout{1'000};
  static constexpr workload::Milliseconds kFirstRetryDelay{50};
  static constexpr workload::Milliseconds kMaxRetryDelay{400};

  struct Group {
    std::vector<workload::KeyedValue> items;
    Done done;
  };

  void SendNext() {
    if (waiting_.empty()) {
      is_busy_ = false;
      return;
    }
    AppendOrder order;
    std::size_t bytes = 0;
    while (!waiting_.empty() && (in_flight_.empty() || bytes < options_.max_batch_bytes)) {
      Group group = std::move(waiting_.front());
      waiting_.pop_front();
      for (const workload::KeyedValue& it : group.items) {
        bytes += it.key.size() + it.value.size();
      }
      std::move(group.items.begin(), group.items.end(), std::back_inserter(order.items));
      in_flight_.push_back(std::move(group));
    }
    if (order.items.empty()) {
      // The store does not number an append without records.
      Finish(AppendStatus::kAppended, 0);
      return;
    }
    order.producer = options_.producer;
    order.epoch = epoch_;
    order.sequence = sequence_;
    order_ = std::move(order);
    is_outcome_open_ = false;
    failures_ = 0;
    first_sent_at_ = port_.Now();
    Send();
  }

  void Send() {
    sent_at_ = port_.Now();
    port_.Call(endpoint_.address, Platform::AppendRequest(endpoint_.topic, order_), kCallTimeout,
               life_.Wrap([this](const net::ClientResult& result) {
                 OnAnswer(Platform::ParseAppend(result));
               }));
  }

  void OnAnswer(const AppendAnswer& answer) {
    const bool is_open =
        answer.status == AppendStatus::kUnknown ||
        (answer.status == AppendStatus::kRefused && (is_outcome_open_ || options_.retries_refused));
    if (answer.status == AppendStatus::kAppended) {
      confirmed_at_ = sent_at_;
    }
    if (!is_open) {
      Finish(answer.status, 1);
      return;
    }
    is_outcome_open_ = is_outcome_open_ || answer.status == AppendStatus::kUnknown;
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

  // Nothing was sent of the groups that wait, so that a refusal of them is true.
  void GiveUp() {
    logging::LogEvent(logging::LogLevel::kWarning, "append_given_up",
                      {{"topic", endpoint_.topic},
                       {"producer", options_.producer},
                       {"waiting", waiting_.size()}});
    ++epoch_;
    sequence_ = options_.first_sequence;
    failures_ = 0;
    std::deque<Group> unsent = std::exchange(waiting_, {});
    const auto alive = life_.watch();
    for (const Group& it : unsent) {
      it.done(AppendStatus::kRefused);
      if (alive.expired()) {
        return;
      }
    }
    Finish(AppendStatus::kUnknown, 0);
  }

  // Tells the groups of a call its outcome. @param numbers that the store took for it
  void Finish(AppendStatus status, std::uint64_t numbers) {
    if (status == AppendStatus::kAppended) {
      sequence_ += numbers;
    }
    std::vector<Group> finished = std::move(in_flight_);
    in_flight_.clear();
    const auto alive = life_.watch();
    for (const Group& it : finished) {
      it.done(status);
      if (alive.expired()) {
        return;
      }
    }
    SendNext();
  }

  void After(workload::Milliseconds delay, std::function<void()> action) {
    port_.After(delay, life_.Wrap(std::move(action)));
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
  // Whether the append on its way may have been carried out already.
  bool is_outcome_open_ = false;
  std::uint32_t failures_ = 0;
  workload::SteadyTime first_sent_at_;
  // Of the call on its way.
  workload::SteadyTime sent_at_;
  workload::SteadyTime confirmed_at_;
  LifeGuard life_;
};

}  // namespace clementineloom::entry
