#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <iterator>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "entry/port/call_port.h"
#include "entry/port/lifetime_guard.h"
#include "entry/store/read_size.h"
#include "entry/store/store_endpoint.h"
#include "entry/store/topic_follower_options.h"
#include "entry/store/topic_item.h"
#include "logging/event_log.h"

namespace clementineloom::entry {

/// @brief Follows a compacted topic: loads the newest record of each key, then reads new records.
///
/// Loads again when the next records to read have expired. Reads are limited in size, and follow
/// each other without a pause until the end of the topic is reached. Calls the sink's
/// - on_reload with the whole topic, after each load,
/// - on_items with new records, in order; with none if a long poll ended without a record.
/// Thread safety: none; use from the thread of the port, which has to outlive the follower.
template <class Platform, CallPort Port>
class TopicFollower {
 public:
  using Items = std::vector<TopicItem>;
  struct Sink {
    std::function<void(const Items&)> on_reload;
    std::function<void(const Items&)> on_items;
    /// Runs when a read or a load failed and will be retried; may be empty.
    std::function<void()> on_failure;
  };

  TopicFollower(Port& port, StoreEndpoint endpoint, TopicFollowerOptions options, Sink sink)
      : port_(port), endpoint_(std::move(endpoint)), options_(options), sink_(std::move(sink)) {}

  /// @brief Starts the first load. Call once.
  void Start() { LoadPage({}); }

  /// @brief Whether new records are read as they are appended: false during a load, which shows
  /// none, and while the last read did not reach the end of the topic.
  [[nodiscard]] bool is_reading() const { return is_loaded_ && !is_loading_ && is_at_end_; }

  /// @brief When the last answer that reached the end of the topic was handled; empty before the
  /// first load and during one that Reload requested. The age of the view follows from
  /// complete_until.
  [[nodiscard]] std::optional<workload::SteadyTime> last_read_at() const { return last_read_at_; }

  /// @brief When the last read that reached the end of the topic, or the request for the first page
  /// of the last load, was sent: the view contains everything stored before. It does not depend on
  /// how long the answer waited for this process. Precondition: the sink has been called.
  [[nodiscard]] workload::SteadyTime complete_until() const { return complete_until_; }

  /// @brief Whether the last read or load succeeded.
  [[nodiscard]] bool is_healthy() const { return is_loaded_ && failures_ == 0; }

  /// @brief Offset of the next record to read.
  [[nodiscard]] std::uint64_t next_offset() const { return next_offset_; }

  void set_options(TopicFollowerOptions options) { options_ = options; }

  /// @brief Loads the whole topic again after the read in progress; until then the topic counts as
  /// not loaded.
  void Reload() {
    must_reload_ = true;
    is_loaded_ = false;
    last_read_at_.reset();
  }

 private:
  static constexpr workload::Milliseconds kLoadTimeout{2'000};
  static constexpr std::uint32_t kMaxPageRetries = 5;
  // Added to the store's own wait; without an answer after that the connection is broken.
  static constexpr workload::Milliseconds kReadSlack{600};
  static constexpr workload::Milliseconds kFirstRetryDelay{100};
  static constexpr workload::Milliseconds kMaxRetryDelay{800};

  void LoadPage(const std::string& after_key) {
    is_loading_ = true;
    if (after_key.empty()) {
      loaded_.clear();
      load_sent_at_ = port_.Now();
    }
    port_.Call(endpoint_.address, Platform::NewestRequest(endpoint_.topic, after_key), kLoadTimeout,
               lifetime_.Wrap([this, after_key](const net::ClientResult& result) {
                 OnPage(after_key, result);
               }));
  }

  void OnPage(const std::string& after_key, const net::ClientResult& result) {
    auto page = Platform::ParseNewest(result);
    if (!page) {
      // Pages already received are kept, so that a slow store does not serve them again. A page
      // that fails several times may not exist any more.
      Retry([this, after_key] {
        LoadPage(failures_ <= kMaxPageRetries ? after_key : std::string());
      });
      return;
    }
    NoteSuccess();
    if (after_key.empty()) {
      load_end_ = page->end_offset;
      load_began_at_ = port_.Now();
    }
    std::move(page->items.begin(), page->items.end(), std::back_inserter(loaded_));
    if (page->has_more && !loaded_.empty()) {
      LoadPage(loaded_.back().item.key);
      return;
    }
    FinishLoad();
  }

  void FinishLoad() {
    newer_offsets_.clear();
    for (const TopicItem& it : loaded_) {
      if (it.offset >= load_end_) {
        newer_offsets_[it.item.key] = it.offset;
      }
    }
    next_offset_ = load_end_;
    last_read_at_ = load_began_at_;
    complete_until_ = load_sent_at_;
    is_loaded_ = true;
    is_loading_ = false;
    is_at_end_ = true;
    must_reload_ = false;
    const auto alive = lifetime_.watch();
    sink_.on_reload(loaded_);
    if (alive.expired()) {
      return;
    }
    loaded_ = {};
    Read();
  }

  void Read() {
    if (must_reload_) {
      LoadPage({});
      return;
    }
    // After a failure the store answers at once, so that its return is noticed without a wait for
    // the next record.
    const workload::Milliseconds wait = failures_ > 0 ? workload::Milliseconds(0) : options_.wait;
    port_.Call(endpoint_.address,
               Platform::ReadRequest(endpoint_.topic, next_offset_, wait, read_size_.kilobytes()),
               options_.wait + kReadSlack,
               lifetime_.Wrap([this, sent_at = port_.Now()](const net::ClientResult& result) {
                 OnBatch(sent_at, result);
               }));
  }

  void OnBatch(workload::SteadyTime sent_at, const net::ClientResult& result) {
    if (Platform::HasExpired(result)) {
      logging::LogEvent(logging::LogLevel::kInfo, "topic_records_expired",
                        {{"topic", endpoint_.topic}, {"next_offset", next_offset_}});
      LoadPage({});
      return;
    }
    if (must_reload_) {
      LoadPage({});
      return;
    }
    auto batch = Platform::ParseRead(result, next_offset_);
    if (!batch) {
      if (!result.response) {
        read_size_.OnNoAnswer();
      }
      Retry([this] { Read(); });
      return;
    }
    NoteSuccess();
    const bool has_records = !batch->items.empty();
    if (has_records) {
      next_offset_ = batch->items.back().offset + 1;
    }
    is_at_end_ = next_offset_ >= batch->end_offset;
    if (is_at_end_) {
      last_read_at_ = port_.Now();
      complete_until_ = sent_at;
    }
    if (!has_records && !is_at_end_ && read_size_.is_largest()) {
      Retry([this] { Read(); });
      return;
    }
    NoteSize(has_records);
    DropOlder(batch->items);
    const auto alive = lifetime_.watch();
    sink_.on_items(batch->items);
    if (alive.expired()) {
      return;
    }
    if (has_records && is_at_end_ && options_.pause.count() > 0) {
      port_.After(options_.pause, lifetime_.Wrap([this] { Read(); }));
    } else {
      Read();
    }
  }

  void NoteSize(bool has_records) {
    if (has_records) {
      read_size_.OnRecords();
    } else if (!is_at_end_) {
      read_size_.OnRecordTooLarge();
    }
  }

  // The pages of a load are not a snapshot: a page may contain a record that is newer than the end
  // offset of the load, and reading an older record of its key must not revert it.
  void DropOlder(Items& items) {
    if (newer_offsets_.empty()) {
      return;
    }
    std::erase_if(items, [this](const TopicItem& it) {
      const auto newer = newer_offsets_.find(it.item.key);
      return newer != newer_offsets_.end() && it.offset < newer->second;
    });
    std::erase_if(newer_offsets_, [this](const auto& it) { return it.second < next_offset_; });
  }

  void NoteSuccess() {
    if (failures_ > 0) {
      logging::LogEvent(logging::LogLevel::kInfo, "topic_regained",
                        {{"topic", endpoint_.topic}, {"failures", failures_}});
    }
    failures_ = 0;
  }

  void Retry(std::function<void()> again) {
    if (failures_++ == 0) {
      logging::LogEvent(logging::LogLevel::kWarning, "topic_lost", {{"topic", endpoint_.topic}});
    }
    if (sink_.on_failure) {
      sink_.on_failure();
    }
    const auto delay = kFirstRetryDelay * (1 << std::min<std::uint32_t>(failures_, 4U) >> 1);
    port_.After(std::min<workload::Milliseconds>(delay, kMaxRetryDelay),
                lifetime_.Wrap(std::move(again)));
  }

  Port& port_;
  const StoreEndpoint endpoint_;
  TopicFollowerOptions options_;
  ReadSize read_size_{options_.read_kilobytes};
  const Sink sink_;
  Items loaded_;
  std::uint64_t load_end_ = 0;
  // When the answer with the first page was handled.
  workload::SteadyTime load_began_at_;
  // Offsets, by key, of loaded records at or beyond the end offset of the load.
  std::map<std::string, std::uint64_t> newer_offsets_;
  std::uint64_t next_offset_ = 0;
  bool is_loaded_ = false;
  bool is_loading_ = false;
  // Whether the last load or read reached the end of the topic.
  bool is_at_end_ = false;
  bool must_reload_ = false;
  std::uint32_t failures_ = 0;
  std::optional<workload::SteadyTime> last_read_at_;
  workload::SteadyTime load_sent_at_;
  workload::SteadyTime complete_until_;
  LifetimeGuard lifetime_;
};

}  // namespace clementineloom::entry
