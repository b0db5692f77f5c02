#pragma once

#include <cstdint>
#include <optional>

#include "clementineloom/workload/steady_time.h"
#include "entry/owner/owner_options.h"
#include "settings/entry_settings.h"

namespace clementineloom::entry {

/// @brief The options of an owner.
/// Thread safety: may be called from any thread.
/// @param handed_over_at when the instance last handed over because it reached no worker
[[nodiscard]] OwnerOptions OwnerOptionsOf(const settings::EntrySettings& settings,
                                          std::uint64_t epoch,
                                          std::optional<workload::SteadyTime> handed_over_at);

}  // namespace clementineloom::entry
