#pragma once

#include <algorithm>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <unordered_set>
#include <utility>
#include <vector>

#include "clementineloom/concurrency/bounded_ring.h"
#include "clementineloom/errors/result_code_table.h"
#include "codec/control_payload_codec.h"
#include "codec/record_codec.h"
#include "codec/state_image_codec.h"
#include "metrics/metric_registry.h"
#include "platform/log_client.h"
#include "scheduler/append_event.h"
#include "scheduler/append_item.h"
#include "scheduler/append_options.h"
#include "scheduler/monotonic_clock.h"
#include "scheduler/proposal_dropped.h"
#include "scheduler/release_memory.h"

namespace clementineloom::scheduler {

/// @brief Appends proposals to the control stream, several in one append.
///
/// At most one append is in progress. After an append without an answer nothing else is sent until
/// the stream has been read to its tail at a time after the failure: records that were not found
/// there are appended again under the same ids.
///
/// Thread safety: none; other threads reach it only through its ring.
template <platform::LogClient Client, MonotonicClock Clock = std::chrono::steady_clock>
class AppendDuty {
 public:
  /// Takes a proposal that was dropped, or returns false to be offered it again at the next Flush.
  using DropSink = std::function<bool(ProposalDropped)>;

  /// The client and the registry have to outlive it.
  AppendDuty(Client& client, AppendOptions options, DropSink drop_sink,
             metrics::MetricRegistry& metrics)
      : client_(client),
        options_(std::move(options)),
        drop_sink_(std::move(drop_sink)),
        metrics_(metrics) {}

  /// @brief Handles events until the ring is closed and drained.
  void Run(BoundedRing<AppendEvent>& events) {
    for (;;) {
      auto event = is_idle() ? events.Pop() : events.PopFor(options_.retry_pause);
      const bool is_last = !event && events.closed();
      while (event) {
        Handle(std::move(*event));
        event = events.TryPop();
      }
      Flush();
      if (is_last) {
        return;
      }
    }
  }

  /// @brief Handles one event.
  void Handle(AppendEvent event) {
    std::visit([this](auto& it) { this->Take(std::move(it)); }, event);
  }

  /// @brief Makes at most one append of what is queued: proposals first, then snapshots.
  void Flush() {
    DeliverDrops();
    const MonotonicTime now = Clock::now();
    const bool is_outcome_unknown = unknown_since_ && at_tail_ <= *unknown_since_;
    DropExpired(now, is_outcome_unknown);
    if (is_outcome_unknown || now < next_try_) {
      return;
    }
    unknown_since_.reset();
    std::deque<AppendItem>& queue = proposals_.empty() ? chunks_ : proposals_;
    if (!queue.empty()) {
      AppendFrom(queue);
    }
  }

  /// @brief Whether nothing is queued and the sink has taken all drops.
  [[nodiscard]] bool is_idle() const {
    return proposals_.empty() && chunks_.empty() && drops_.empty();
  }

 private:
  // A snapshot that takes longer to write is dropped; the next one is taken from a newer state.
  static constexpr std::chrono::seconds kSnapshotTimeout{60};

  void Take(const Proposal& proposal) {
    if (proposals_.size() >= options_.max_queue) {
      metrics_.Count("loom_proposals_refused_total", "reason", "queue_full");
      Drop({proposal.record->id, RunState::kDidNotRun});
      return;
    }
    proposals_.push_back(
        {proposal.record->id, codec::EncodeRecord(*proposal.record), proposal.expires_at, false});
  }

  void Take(const LogProgress& progress) {
    at_tail_ = std::max(at_tail_, progress.at_tail);
    const std::unordered_set<std::string> seen(progress.own_records.begin(),
                                               progress.own_records.end());
    if (!seen.empty()) {
      std::erase_if(proposals_, [&](const AppendItem& it) { return seen.contains(it.id); });
    }
  }

  void Take(const SnapshotDue& due) {
    // The unsent chunks of an older snapshot are obsolete.
    chunks_.clear();
    const MonotonicTime expires_at = Clock::now() + kSnapshotTimeout;
    for (const SnapshotChunk& it : codec::SplitStateImage(due.id, *due.image)) {
      const std::string id = due.id + "." + std::to_string(it.index);
      chunks_.push_back({id, codec::EncodeSnapshotChunk(id, it), expires_at, false});
    }
  }

  void DropExpired(MonotonicTime now, bool is_outcome_unknown) {
    const auto is_dropped = [&](const AppendItem& it) {
      return it.expires_at <= now && !(it.may_be_in_stream && is_outcome_unknown);
    };
    for (const AppendItem& it : proposals_) {
      if (is_dropped(it)) {
        metrics_.Count("loom_proposals_refused_total", "reason", "expired");
        Drop({it.id, it.may_be_in_stream ? RunState::kMayHaveRun : RunState::kDidNotRun});
      }
    }
    std::erase_if(proposals_, is_dropped);
    std::erase_if(chunks_, is_dropped);
  }

  void Drop(ProposalDropped dropped) {
    // Of a full queue the oldest drop is given up: its caller is told at its deadline that the
    // outcome is unknown.
    if (drops_.size() >= options_.max_queue) {
      drops_.pop_front();
    }
    drops_.push_back(std::move(dropped));
    DeliverDrops();
  }

  void DeliverDrops() {
    while (!drops_.empty() && drop_sink_(drops_.front())) {
      drops_.pop_front();
    }
  }

  void AppendFrom(std::deque<AppendItem>& queue) {
    std::vector<std::string> payloads;
    std::size_t bytes = 0;
    for (const AppendItem& it : queue) {
      bytes += it.payload.size();
      const bool is_full =
          payloads.size() == options_.max_batch || bytes > options_.max_batch_bytes;
      // A single record that exceeds the batch limit still has to be sent.
      if (is_full && !payloads.empty()) {
        break;
      }
      payloads.push_back(it.payload);
    }
    const auto refusal = RefusalOf([&] { return client_.Append(options_.stream, payloads); });
    const auto end = queue.begin() + static_cast<std::ptrdiff_t>(payloads.size());
    if (!refusal) {
      metrics_.Count("loom_records_appended_total", {}, {}, payloads.size());
      queue.erase(queue.begin(), end);
      if (&queue == &chunks_ && chunks_.empty()) {
        ReleaseFreeMemory();
      }
      return;
    }
    metrics_.Count("loom_append_failures_total", "reason", ResultCodeName(refusal->code));
    const MonotonicTime now = Clock::now();
    next_try_ = now + options_.retry_pause;
    if (refusal->run_state != RunState::kDidNotRun) {
      unknown_since_ = now;
      std::for_each(queue.begin(), end, [](AppendItem& it) { it.may_be_in_stream = true; });
    }
  }

  Client& client_;
  const AppendOptions options_;
  const DropSink drop_sink_;
  metrics::MetricRegistry& metrics_;
  std::deque<AppendItem> proposals_;
  std::deque<AppendItem> chunks_;
  /// Drops that the sink has not taken yet.
  std::deque<ProposalDropped> drops_;
  /// When the view last reached the tail.
  MonotonicTime at_tail_;
  /// When an append ended without an answer; reset once the stream was read after that time.
  std::optional<MonotonicTime> unknown_since_;
  MonotonicTime next_try_;
};

}  // namespace clementineloom::scheduler
