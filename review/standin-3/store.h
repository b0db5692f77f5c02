// The platform's metadata store as far as loom-entry uses it: append, read and newest of topics
// with one partition, as the page on the platform's interfaces describes them.
#pragma once

#include <algorithm>
#include <boost/json.hpp>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

#include "http.h"

namespace review {

namespace json = boost::json;

class Store {
 public:
  Store() : server_([this](const Request& it) { return Handle(it); }) {}

  std::string address() const { return server_.address(); }

  // Writes what the operator or a worker writes.
  void Put(const std::string& topic, const std::string& key, const std::string& value) {
    const std::lock_guard lock(mutex_);
    topics_[topic].records.push_back({key, value});
    changed_.notify_all();
  }

 private:
  struct Producer {
    std::uint64_t epoch = 0;
    std::uint64_t next = 0;
    // Sequence number and offset of the last appends.
    std::deque<std::pair<std::uint64_t, std::uint64_t>> last;
  };
  struct Topic {
    std::vector<std::pair<std::string, std::string>> records;
    std::map<std::string, Producer> producers;
  };

  static constexpr std::size_t kRememberedAppends = 5;
  static constexpr std::size_t kPageItems = 500;
  static constexpr std::size_t kPageBytes = 1'000'000;

  static std::map<std::string, std::string> Query(std::string_view target) {
    std::map<std::string, std::string> query;
    const auto mark = target.find('?');
    std::string_view rest = mark == std::string_view::npos ? "" : target.substr(mark + 1);
    while (!rest.empty()) {
      const auto end = std::min(rest.find('&'), rest.size());
      const std::string_view pair = rest.substr(0, end);
      const auto equal = std::min(pair.find('='), pair.size());
      const std::string_view text = equal < pair.size() ? pair.substr(equal + 1) : "";
      std::string value;
      for (std::size_t n = 0; n < text.size(); ++n) {
        if (text[n] == '%' && n + 2 < text.size()) {
          value.push_back(
              static_cast<char>(std::stoi(std::string(text.substr(n + 1, 2)), nullptr, 16)));
          n += 2;
        } else {
          value.push_back(text[n]);
        }
      }
      query[std::string(pair.substr(0, equal))] = value;
      rest.remove_prefix(std::min(end + 1, rest.size()));
    }
    return query;
  }

  static std::uint64_t Number(const std::map<std::string, std::string>& query, const char* name,
                              std::uint64_t otherwise) {
    const auto it = query.find(name);
    return it == query.end() || it->second.empty() ? otherwise : std::stoull(it->second);
  }

  static std::string BigEndian(std::uint64_t number, int bytes) {
    std::string text;
    for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8) {
      text.push_back(static_cast<char>(number >> shift));
    }
    return text;
  }

  static std::string Base64(const std::string& bytes) {
    static constexpr char kDigits[] =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t n = 0; n < bytes.size(); n += 3) {
      std::uint32_t group = 0;
      for (std::size_t k = 0; k < 3; ++k) {
        group = group << 8 | (n + k < bytes.size() ? static_cast<unsigned char>(bytes[n + k]) : 0);
      }
      for (std::size_t k = 0; k < 4; ++k) {
        text.push_back(n + k <= bytes.size() ? kDigits[group >> (18 - 6 * k) & 63] : '=');
      }
    }
    return text;
  }

  std::optional<Response> Handle(const Request& request) {
    const std::string target(request.target());
    const auto query = Query(target);
    const std::string path = target.substr(0, target.find('?'));
    if (path == "/log-append") {
      std::this_thread::sleep_for(std::chrono::milliseconds(4));
      return Append(query, request.body());
    }
    if (path == "/log-read") {
      return Read(query);
    }
    return path == "/log-newest" ? Newest(query) : Reply(404, "{}");
  }

  Response Append(const std::map<std::string, std::string>& query, std::string_view body) {
    const std::lock_guard lock(mutex_);
    Topic& topic = topics_[query.at("topic")];
    const std::uint64_t offset = topic.records.size();
    if (query.contains("producer")) {
      const std::uint64_t epoch = Number(query, "epoch", 0);
      const std::uint64_t sequence = Number(query, "sequence", 0);
      const auto known = topic.producers.find(query.at("producer"));
      if (known != topic.producers.end() && epoch < known->second.epoch) {
        return Reply(409, R"({"reason":"fenced"})");
      }
      if (known != topic.producers.end() && epoch == known->second.epoch) {
        for (const auto& [number, at] : known->second.last) {
          if (number == sequence) {
            return Appended(at, at);
          }
        }
        if (sequence != known->second.next) {
          return Reply(409,
                       R"({"reason":"seq","sequence":)" + std::to_string(known->second.next) + "}");
        }
      }
      Producer& producer = topic.producers[query.at("producer")];
      if (epoch > producer.epoch) {
        producer = Producer{epoch, 0, {}};
      }
      if (!body.empty()) {
        producer.next = sequence + 1;
        producer.last.emplace_back(sequence, offset);
        if (producer.last.size() > kRememberedAppends) {
          producer.last.pop_front();
        }
      }
    }
    while (body.size() >= 4) {
      std::size_t length = 0;
      for (int n = 0; n < 4; ++n) {
        length = length << 8 | static_cast<unsigned char>(body[n]);
      }
      const std::string_view record = body.substr(4, length);
      const std::size_t key = static_cast<unsigned char>(record[0]);
      topic.records.emplace_back(record.substr(1, key), record.substr(1 + key));
      body.remove_prefix(4 + length);
    }
    changed_.notify_all();
    return Appended(offset, topic.records.size());
  }

  static Response Appended(std::uint64_t offset, std::uint64_t end) {
    return Reply(200, json::serialize(json::object{{"offset", offset}, {"endOffset", end}}));
  }

  Response Read(const std::map<std::string, std::string>& query) {
    std::unique_lock lock(mutex_);
    const Topic& topic = topics_[query.at("topic")];
    const std::uint64_t from = Number(query, "from", 0);
    const auto wait = std::chrono::milliseconds(Number(query, "waitMs", 0));
    changed_.wait_for(lock, wait, [&] { return topic.records.size() > from; });
    std::string body = BigEndian(topic.records.size(), 8) + BigEndian(0, 8);
    const std::size_t most = 1024 * Number(query, "maxKb", 1024);
    for (std::uint64_t n = from; n < topic.records.size(); ++n) {
      const auto& [key, value] = topic.records[n];
      if (body.size() + 5 + key.size() + value.size() > most) {
        break;
      }
      body += BigEndian(1 + key.size() + value.size(), 4) + BigEndian(key.size(), 1) + key + value;
    }
    return Reply(200, std::move(body), "application/octet-stream");
  }

  Response Newest(const std::map<std::string, std::string>& query) {
    const std::lock_guard lock(mutex_);
    const Topic& topic = topics_[query.at("topic")];
    std::map<std::string, std::uint64_t> newest;
    for (std::uint64_t n = 0; n < topic.records.size(); ++n) {
      newest[topic.records[n].first] = n;
    }
    const auto after = query.find("dependsOn");
    json::array items;
    bool has_more = false;
    std::size_t bytes = 0;
    for (auto it = after == query.end() ? newest.begin() : newest.upper_bound(after->second);
         it != newest.end(); ++it) {
      const std::string& value = topic.records[it->second].second;
      if (value.empty()) {
        continue;
      }
      if (items.size() == kPageItems || bytes > kPageBytes) {
        has_more = true;
        break;
      }
      bytes += it->first.size() + value.size();
      items.push_back(
          json::object{{"key", it->first}, {"value", Base64(value)}, {"offset", it->second}});
    }
    return Reply(200, json::serialize(json::object{{"items", std::move(items)},
                                                   {"hasMore", has_more},
                                                   {"endOffset", topic.records.size()}}));
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, Topic> topics_;
  Server server_;
};

}  // namespace review
