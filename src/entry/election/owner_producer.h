#pragma once

namespace clementineloom::entry {

/// Producer under which every owner appends its claim and its records: the store refuses the epochs
/// of earlier owners.
inline constexpr const char* kOwnerProducer = "owner";

}  // namespace clementineloom::entry
