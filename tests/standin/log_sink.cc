#include "standin/log_sink.h"

namespace clementineloom::standin {

void LogSink::append(const log4cxx::spi::LoggingEventPtr& event, log4cxx::helpers::Pool&) {
  if (function_) {
    function_(event->getLevel()->toString(), event->getRenderedMessage());
  }
}

// Last, because the macro declares a nested namespace log4cxx.
IMPLEMENT_LOG4CXX_OBJECT(LogSink)

}  // namespace clementineloom::standin
