#include "settings/document.h"

#include <algorithm>
#include <boost/json/object.hpp>
#include <boost/json/parse_options.hpp>
#include <boost/json/stream_parser.hpp>
#include <fstream>
#include <iterator>
#include <utility>

namespace clementineloom::settings {
namespace {

namespace json = boost::json;

Problem MalformedAt(const std::string& file, const std::string& text, std::size_t offset,
                    const std::string& message) {
  const auto end = text.begin() + static_cast<std::ptrdiff_t>(std::min(offset, text.size()));
  const auto line = static_cast<std::size_t>(std::count(text.begin(), end, '\n')) + 1;
  return {ResultCode::kMalformedDocument, file, line, "", message};
}

void Parse(const std::string& text, Checked<Document>& checked) {
  json::parse_options options;
  options.allow_comments = true;
  options.allow_trailing_commas = true;
  json::stream_parser parser(json::storage_ptr(), options);
  boost::system::error_code ec;
  const std::size_t n = parser.write_some(text, ec);
  if (!ec && n < text.size()) {
    ec = json::error::extra_data;
  }
  if (!ec) {
    parser.finish(ec);
  }
  Document& document = checked.value;
  if (ec) {
    checked.problems.push_back(MalformedAt(document.file, text, n, ec.message()));
    return;
  }
  document.root = parser.release();
  if (!document.root.is_object()) {
    document.root = json::object();
    checked.problems.push_back(MalformedAt(document.file, text, 0, "object expected"));
    return;
  }
  document.lines = KeyLines::Of(text);
  for (const std::string& it : document.lines.duplicates()) {
    checked.problems.push_back(
        document.ProblemAt(ResultCode::kDuplicateId, it, "the key stands twice"));
  }
}

}  // namespace

Problem Document::ProblemAt(ResultCode code, std::string field, std::string message) const {
  const std::size_t line = lines.LineOf(field);
  return {code, file, line, std::move(field), std::move(message)};
}

Checked<Document> ReadDocument(const std::string& file) {
  Checked<Document> checked;
  checked.value.file = file;
  checked.value.root = json::object();
  std::ifstream in(file, std::ios::binary);
  const std::string text{std::istreambuf_iterator<char>(in), {}};
  if (!in.is_open() || in.bad()) {
    checked.problems.push_back(
        {ResultCode::kFileUnreadable, file, 1, "", "the file cannot be read"});
    return checked;
  }
  Parse(text, checked);
  return checked;
}

}  // namespace clementineloom::settings
