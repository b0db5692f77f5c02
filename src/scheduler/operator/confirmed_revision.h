#pragma once

#include <compare>

#include "clementineloom/model/config_revision.h"

namespace clementineloom::scheduler {

/// @brief Answer to ConfigConfirm: the revision that the edits created.
struct ConfirmedRevision {
  ConfigRevision revision;

  friend auto operator<=>(const ConfirmedRevision&, const ConfirmedRevision&) = default;
};

}  // namespace clementineloom::scheduler
