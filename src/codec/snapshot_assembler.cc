#include "codec/snapshot_assembler.h"

#include <optional>
#include <utility>

#include "codec/crc32.h"
#include "codec/state_image_codec.h"

namespace clementineloom::codec {
namespace {

auto Torn(const SnapshotChunk& chunk, const std::string& reason) {
  return Refuse(ResultCode::kSnapshotTorn, chunk.snapshot + ": " + reason);
}

}  // namespace

Result<std::shared_ptr<const StateImage>> SnapshotAssembler::Add(const SnapshotChunk& chunk) {
  if (parts_.size() >= kMaxIncomplete && !parts_.contains(chunk.snapshot)) {
    parts_.erase(parts_.begin());
  }
  Parts& parts = parts_[chunk.snapshot];
  if (parts.data.empty()) {
    parts.data.resize(chunk.count);
    parts.missing = chunk.count;
  }
  if (chunk.index >= parts.data.size()) {
    return Torn(chunk, "chunk index");
  }
  // A retried append delivers a chunk twice.
  if (parts.data[chunk.index].empty()) {
    parts.data[chunk.index] = chunk.data;
    --parts.missing;
  }
  if (parts.missing > 0) {
    return std::shared_ptr<const StateImage>();
  }
  std::string text;
  for (const std::string& it : parts.data) {
    text += it;
  }
  parts_.erase(chunk.snapshot);
  if (Crc32(text) != chunk.image_checksum) {
    return Torn(chunk, "checksum");
  }
  std::shared_ptr<const StateImage> image;
  const auto refusal = RefusalOf([&]() -> Result<void> {
    BOOST_LEAF_AUTO(decoded, DecodeStateImage(text));
    image = std::make_shared<const StateImage>(std::move(decoded));
    return {};
  });
  if (refusal) {
    return Torn(chunk, refusal->detail);
  }
  if (image->applied_offset() != chunk.covers) {
    return Torn(chunk, "offset");
  }
  return image;
}

}  // namespace clementineloom::codec
