#pragma once

#include <cstddef>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "clementineloom/errors/result.h"
#include "clementineloom/state/snapshot_chunk.h"
#include "clementineloom/state/state_image.h"

namespace clementineloom::codec {

/// @brief Joins the chunks of snapshots as they are read from the stream.
///
/// Thread safety: none.
class SnapshotAssembler {
 public:
  /// @brief Adds a chunk. @return the image if it is now complete, or nullptr.
  /// Errors: kSnapshotTorn (a checksum fails or the image cannot be read).
  [[nodiscard]] Result<std::shared_ptr<const StateImage>> Add(const SnapshotChunk& chunk);

  void Clear() { parts_.clear(); }

 private:
  struct Parts {
    std::vector<std::string> data;
    std::size_t missing = 0;
  };

  // Several snapshots may be written at the same time; beyond this number of incomplete ones, the
  // one with the lowest id is dropped.
  static constexpr std::size_t kMaxIncomplete = 4;

  std::map<std::string, Parts> parts_;
};

}  // namespace clementineloom::codec
