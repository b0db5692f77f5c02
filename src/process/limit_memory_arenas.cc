#include "process/limit_memory_arenas.h"

#include <malloc.h>

namespace clementineloom::process {
namespace {

constexpr int kArenas = 2;

}  // namespace

void LimitMemoryArenas() { mallopt(M_ARENA_MAX, kArenas); }

}  // namespace clementineloom::process
