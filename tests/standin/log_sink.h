#pragma once

#include <log4cxx/appenderskeleton.h>
#include <log4cxx/spi/loggingevent.h>

#include <functional>
#include <string>
#include <utility>

namespace clementineloom::standin {

// The macros of log4cxx expect its namespace in scope.
namespace helpers = log4cxx::helpers;

/// @brief Passes each line of the process's log to a function, in the thread that logs it.
class LogSink : public log4cxx::AppenderSkeleton {
 public:
  DECLARE_LOG4CXX_OBJECT(LogSink)
  BEGIN_LOG4CXX_CAST_MAP()
  LOG4CXX_CAST_ENTRY(LogSink)
  LOG4CXX_CAST_ENTRY_CHAIN(log4cxx::AppenderSkeleton)
  END_LOG4CXX_CAST_MAP()

  /// The level's name and the event with its fields.
  using Function = std::function<void(const std::string& level, const std::string& event)>;

  LogSink() = default;
  explicit LogSink(Function function) : function_(std::move(function)) {}

  void close() override {}
  [[nodiscard]] bool requiresLayout() const override { return false; }

 protected:
  void append(const log4cxx::spi::LoggingEventPtr& event, log4cxx::helpers::Pool& pool) override;

 private:
  Function function_;
};

}  // namespace clementineloom::standin
