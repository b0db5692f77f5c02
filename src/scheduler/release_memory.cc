#include "scheduler/release_memory.h"

#include <malloc.h>

namespace clementineloom::scheduler {

void ReleaseFreeMemory() { (void)malloc_trim(0); }

}  // namespace clementineloom::scheduler
