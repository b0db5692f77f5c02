#include "settings/key_lines.h"

#include <algorithm>

namespace clementineloom::settings {

namespace {

std::string ChildPath(const std::string& path, const std::string& key) {
  return path.empty() ? key : path + "." + key;
}

}  // namespace

class KeyScanner {
 public:
  explicit KeyScanner(std::string_view text) : text_(text) {}

  KeyLines Scan() {
    SkipSpace();
    ScanValue("");
    return std::move(result_);
  }

 private:
  [[nodiscard]] bool AtEnd() const { return offset_ >= text_.size(); }
  [[nodiscard]] char Peek() const { return AtEnd() ? '\0' : text_[offset_]; }

  void Advance() {
    if (Peek() == '\n') {
      ++line_;
    }
    ++offset_;
  }

  void SkipUntil(std::string_view end) {
    while (!AtEnd() && !text_.substr(offset_).starts_with(end)) {
      Advance();
    }
  }

  void SkipSpace() {
    while (!AtEnd()) {
      if (text_.substr(offset_).starts_with("//")) {
        SkipUntil("\n");
      } else if (text_.substr(offset_).starts_with("/*")) {
        offset_ += 2;
        SkipUntil("*/");
        offset_ += 2;
      } else if (std::string_view(" \t\r\n").find(Peek()) != std::string_view::npos) {
        Advance();
      } else {
        return;
      }
    }
  }

  // Escapes are not decoded, because keys of settings have none.
  std::string ScanString() {
    Advance();
    const std::size_t start = offset_;
    while (!AtEnd() && Peek() != '"') {
      if (Peek() == '\\') {
        Advance();
      }
      Advance();
    }
    std::string value(text_.substr(start, offset_ - start));
    Advance();
    return value;
  }

  void ScanValue(const std::string& path) {
    if (Peek() == '{') {
      ScanObject(path);
    } else if (Peek() == '[') {
      ScanArray(path);
    } else if (Peek() == '"') {
      ScanString();
    } else {
      while (!AtEnd() && std::string_view(",]} \t\r\n/").find(Peek()) == std::string_view::npos) {
        Advance();
      }
    }
    SkipSpace();
  }

  void SkipComma() {
    if (Peek() == ',') {
      Advance();
    }
    SkipSpace();
  }

  void ScanObject(const std::string& path) {
    Advance();
    SkipSpace();
    while (!AtEnd() && Peek() == '"') {
      const std::size_t line = line_;
      const std::string key = ScanString();
      const std::string key_path = ChildPath(path, key);
      if (!result_.lines_.emplace(key_path, line).second) {
        result_.lines_[key_path] = line;
        result_.duplicates_.push_back(key_path);
      }
      SkipSpace();
      Advance();  // The colon.
      SkipSpace();
      ScanValue(key_path);
      SkipComma();
    }
    Advance();
  }

  void ScanArray(const std::string& path) {
    Advance();
    SkipSpace();
    for (std::size_t n = 0; !AtEnd() && Peek() != ']'; ++n) {
      std::string element = path;
      element.append("[").append(std::to_string(n)).append("]");
      result_.lines_.emplace(element, line_);
      ScanValue(element);
      SkipComma();
    }
    Advance();
  }

  std::string_view text_;
  std::size_t offset_ = 0;
  std::size_t line_ = 1;
  KeyLines result_;
};

KeyLines KeyLines::Of(std::string_view text) { return KeyScanner(text).Scan(); }

std::size_t KeyLines::LineOf(std::string path) const {
  while (!path.empty()) {
    if (const auto it = lines_.find(path); it != lines_.end()) {
      return it->second;
    }
    const std::size_t n = path.find_last_of(".[");
    path.resize(n == std::string::npos ? 0 : n);
  }
  return 1;
}

}  // namespace clementineloom::settings
