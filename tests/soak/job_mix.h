#pragma once

namespace clementineloom::soak {

/// @brief Which workers and jobs a soak has.
enum class JobMix {
  /// Small jobs of one queue, for workers that differ in nothing.
  kPlain,
  /// Racks of large workers; wide gangs, tasks that need most of a worker's memory, labels, racks
  /// of data, and estimates that are far off, in queues of three priorities.
  kShapes,
};

}  // namespace clementineloom::soak
