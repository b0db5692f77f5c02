#include "process/limit_memory_arenas.h"

#include <malloc.h>

namespace clementineloom::process {
namespace {

constexpr int kMaxArenas = 2;

}  // namespace

void LimitMemoryArenas() { mallopt(M_ARENA_MAX, kMaxArenas); }

}  // namespace clementineloom::process
