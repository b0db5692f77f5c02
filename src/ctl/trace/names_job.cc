#include "ctl/trace/names_job.h"

namespace clementineloom::ctl::trace {
namespace {

bool IsTaskOf(std::string_view task, std::string_view job) {
  return task.size() > job.size() && task.starts_with(job) && task[job.size()] == '.';
}

bool IsPathOf(std::string_view path, std::string_view job) {
  path = path.substr(0, path.find('?'));
  return path.size() > job.size() && path.ends_with(job) &&
         path[path.size() - job.size() - 1] == '/';
}

}  // namespace

bool NamesJob(const LogLine& line, std::string_view job) {
  return line.Field("job") == job || IsTaskOf(line.Field("task"), job) ||
         IsTaskOf(line.Field("for"), job) || IsPathOf(line.Field("path"), job);
}

}  // namespace clementineloom::ctl::trace
