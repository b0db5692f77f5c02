#pragma once

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <memory>
#include <optional>
#include <utility>

#include "clementineloom/concurrency/bounded_ring.h"
#include "codec/control_payload_codec.h"
#include "codec/snapshot_assembler.h"
#include "platform/followed_batch.h"
#include "platform/follower_options.h"
#include "platform/log_client.h"

namespace clementineloom::platform {

/// @brief Reads the control stream in order, decodes it and hands it to a sink.
///
/// When the next record has expired, it searches the retained records for a complete snapshot and
/// continues after the offset that the snapshot covers. Until one is found the sink gets nothing,
/// so that the age of the view grows at the consumers.
///
/// The client has to outlive it. Thread safety: Stop may be called from any thread; the rest on the
/// duty's thread.
template <LogClient Client>
class LogFollower {
 public:
  using MonotonicTime = std::chrono::steady_clock::time_point;
  /// Takes a batch; may block. Returns false when the consumer has ended.
  using Sink = std::function<bool(FollowedBatch)>;

  LogFollower(Client& client, FollowerOptions options, Sink sink)
      : client_(client), options_(std::move(options)), sink_(std::move(sink)) {}

  /// @brief Reads until Stop is called or the sink has ended.
  void Run() {
    while (!stop_.closed()) {
      if (!Poll(std::chrono::steady_clock::now())) {
        (void)stop_.PopFor(options_.retry_pause);
      }
    }
  }

  void Stop() { stop_.Close(); }

  /// @brief Makes one read. @return false if it failed and the caller should pause before the next.
  bool Poll(MonotonicTime now) {
    std::optional<ReadBatch> batch;
    const auto refusal = RefusalOf([&]() -> Result<void> {
      BOOST_LEAF_AUTO(read, client_.Read(options_.stream, next_, limit_, wait()));
      batch.emplace(std::move(read));
      return {};
    });
    if (refusal) {
      // The answer may have exceeded the client's size limit for a response, as with many large
      // records such as the chunks of a snapshot: the next read asks for fewer records.
      limit_ = std::max<std::size_t>(limit_ / 2, 1);
      return refusal->code == ResultCode::kRecordsExpired && BeginSearch();
    }
    limit_ = std::min(limit_ * 2, options_.read_limit);
    is_first_read_ = false;
    return is_searching_ ? Search(*batch, now) : Deliver(*batch, now);
  }

  /// @brief Whether it searches for a snapshot, because records expired before they were read.
  [[nodiscard]] bool is_searching() const { return is_searching_; }

 private:
  // Beyond the tail of any stream: a read from here returns no records, but the oldest offset.
  static constexpr LogOffset kBeyondTail{std::uint64_t{1} << 62};

  // The first read does not wait, so that a daemon can serve at once if the stream is idle.
  [[nodiscard]] std::chrono::milliseconds wait() const {
    return is_first_read_ ? std::chrono::milliseconds(0) : options_.read_wait;
  }

  bool BeginSearch() {
    return !RefusalOf([&]() -> Result<void> {
      BOOST_LEAF_AUTO(batch, client_.Read(options_.stream, kBeyondTail, 1, {}));
      assembler_.Clear();
      is_searching_ = true;
      next_ = batch.oldest;
      return {};
    });
  }

  bool Search(const ReadBatch& batch, MonotonicTime now) {
    for (const StoredRecord& it : batch.records) {
      next_ = LogOffset(it.offset.value() + 1);
      const auto image = ImageCompletedBy(it);
      const bool is_usable = image != nullptr && image->applied_offset() >= read_to_ &&
                             image->applied_offset().value() + 1 >= batch.oldest.value();
      if (is_usable) {
        is_searching_ = false;
        read_to_ = image->applied_offset();
        next_ = LogOffset{read_to_.value() + 1};
        return sink_({image, {}, batch.tail, read_to_, now});
      }
    }
    return true;
  }

  std::shared_ptr<const StateImage> ImageCompletedBy(const StoredRecord& stored) {
    return CatchRefusal(
        [&]() -> Result<std::shared_ptr<const StateImage>> {
          BOOST_LEAF_AUTO(payload, codec::DecodeControlPayload(stored.payload));
          const auto* chunk = std::get_if<SnapshotChunk>(&payload);
          if (chunk == nullptr) {
            return std::shared_ptr<const StateImage>();
          }
          return assembler_.Add(*chunk);
        },
        // A snapshot with an unusable chunk stays incomplete; the search continues with later ones.
        [](const Refusal&) { return std::shared_ptr<const StateImage>(); });
  }

  bool Deliver(const ReadBatch& batch, MonotonicTime now) {
    FollowedBatch followed{nullptr, {}, batch.tail, read_to_, now};
    followed.records.reserve(batch.records.size());
    for (const StoredRecord& it : batch.records) {
      followed.records.push_back(Decode(it));
      read_to_ = it.offset;
    }
    next_ = LogOffset{read_to_.value() + 1};
    followed.read_to = read_to_;
    return sink_(std::move(followed));
  }

  static FollowedRecord Decode(const StoredRecord& stored) {
    return CatchRefusal(
        [&]() -> Result<FollowedRecord> {
          BOOST_LEAF_AUTO(payload, codec::DecodeControlPayload(stored.payload));
          FollowedRecord followed{stored.offset, ResultCode::kOk, nullptr, {}};
          if (auto* record = std::get_if<Record>(&payload)) {
            followed.record = std::make_shared<const Record>(std::move(*record));
          } else if (const auto& chunk = std::get<SnapshotChunk>(payload);
                     chunk.index + 1 == chunk.count) {
            followed.snapshot_covers = chunk.covers;
          }
          return followed;
        },
        [&](const Refusal& refusal) {
          return FollowedRecord{stored.offset, refusal.code, nullptr, {}};
        });
  }

  Client& client_;
  const FollowerOptions options_;
  Sink sink_;
  codec::SnapshotAssembler assembler_;
  // Nothing is pushed; closing the ring ends a pause.
  BoundedRing<bool> stop_{1};
  std::size_t limit_ = options_.read_limit;
  LogOffset next_{1};
  LogOffset read_to_;
  bool is_first_read_ = true;
  bool is_searching_ = false;
};

}  // namespace clementineloom::platform
