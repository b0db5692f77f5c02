#include "gateway/stored_answer_of.h"

#include <cstddef>
#include <utility>
#include <vector>

namespace clementineloom::gateway {
namespace {

// The body is stored in hexadecimal, which doubles its size, and the log is meant for small
// records.
constexpr std::size_t kMaxStoredBytes = 32 * 1024;

}  // namespace

std::optional<StoredAnswer> StoredAnswerOf(const net::HttpResponse& response) {
  if (response.body.size() > kMaxStoredBytes) {
    return std::nullopt;
  }
  StoredAnswer answer{response.status, {}, response.body};
  for (const net::HttpHeader& it : response.headers.fields()) {
    answer.headers.push_back({it.name, it.value});
  }
  return answer;
}

net::HttpResponse ResponseOf(const StoredAnswer& answer) {
  std::vector<net::HttpHeader> headers;
  for (const AnswerHeader& it : answer.headers) {
    headers.push_back({it.name, it.value});
  }
  return {answer.status, net::HttpHeaders(std::move(headers)), answer.body};
}

}  // namespace clementineloom::gateway
