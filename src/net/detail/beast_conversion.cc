#include "net/detail/beast_conversion.h"

#include <algorithm>
#include <array>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/verb.hpp>
#include <boost/lexical_cast/try_lexical_convert.hpp>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace clementineloom::net::detail {
namespace {

namespace http = boost::beast::http;

// Fields that apply to one connection only (RFC 9110, section 7.6.1), and framing fields that are
// written anew for each message.
constexpr std::array<std::string_view, 9> kConnectionFields{
    "Connection", "Keep-Alive",     "Proxy-Connection", "TE", "Trailer", "Upgrade",
    "Host",       "Content-Length", "Transfer-Encoding"};

bool IsConnectionField(std::string_view name) {
  return std::ranges::any_of(kConnectionFields, [&](std::string_view it) {
    return boost::beast::iequals({it.data(), it.size()}, {name.data(), name.size()});
  });
}

template <class Fields>
HttpHeaders CopyHeaders(const Fields& fields) {
  std::vector<HttpHeader> headers;
  for (const auto& it : fields) {
    const std::string name(it.name_string());
    if (!IsConnectionField(name)) {
      headers.push_back({name, std::string(it.value())});
    }
  }
  return HttpHeaders(std::move(headers));
}

template <class Message>
void InsertHeaders(Message& message, const HttpHeaders& headers) {
  for (const HttpHeader& it : headers.fields()) {
    if (!IsConnectionField(it.name)) {
      message.insert(it.name, it.value);
    }
  }
}

BeastResponse HeaderOf(const HttpResponse& response, bool keep_alive) {
  BeastResponse message;
  message.version(11);
  message.result(static_cast<unsigned>(response.status));
  InsertHeaders(message, response.headers);
  message.keep_alive(keep_alive);
  return message;
}

}  // namespace

HttpRequest FromBeast(BeastRequest message) {
  const std::string host(message[http::field::host]);
  return HttpRequest{std::string(message.method_string()), std::string(message.target()),
                     CopyHeaders(message), std::move(message.body()), host};
}

HttpResponse FromBeast(BeastResponse message) {
  return HttpResponse{static_cast<int>(message.result_int()), CopyHeaders(message),
                      std::move(message.body()), std::nullopt};
}

HttpResponse HeadFromBeast(BeastResponse message) {
  std::uint64_t length = 0;
  const auto text = message[http::field::content_length];
  const bool has_length = boost::conversion::try_lexical_convert(text, length);
  HttpResponse response = FromBeast(std::move(message));
  if (has_length) {
    response.head_length = length;
  }
  return response;
}

BeastRequest ToBeast(const HttpRequest& request, const std::string& host) {
  BeastRequest message;
  message.version(11);
  message.method_string(request.method);
  message.target(request.target);
  message.set(http::field::host, request.host.empty() ? host : request.host);
  InsertHeaders(message, request.headers);
  message.body() = request.body;
  message.prepare_payload();
  return message;
}

BeastResponse ToBeast(const HttpResponse& response, bool keep_alive) {
  BeastResponse message = HeaderOf(response, keep_alive);
  message.body() = response.body;
  message.prepare_payload();
  return message;
}

BeastResponse HeadToBeast(const HttpResponse& response, bool keep_alive) {
  BeastResponse message = HeaderOf(response, keep_alive);
  // The body is omitted, because the caller would read it as the next answer.
  if (!response.body.empty()) {
    message.content_length(response.body.size());
  } else if (response.head_length) {
    message.content_length(*response.head_length);
  }
  return message;
}

}  // namespace clementineloom::net::detail
