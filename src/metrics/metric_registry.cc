#include "metrics/metric_registry.h"

#include <boost/histogram.hpp>
#include <map>
#include <mutex>
#include <sstream>
#include <utility>

namespace clementineloom::metrics {
namespace {

namespace bh = boost::histogram;

// 25 logarithmic buckets over a range of two million to one give quantiles within about 40%.
constexpr unsigned kBuckets = 25;
constexpr double kFirstBucketSeconds = 50e-6;
constexpr double kLastBucketSeconds = 100.0;

using LatencyAxis = bh::axis::regular<double, bh::axis::transform::log>;
using Buckets =
    decltype(bh::make_histogram(LatencyAxis{kBuckets, kFirstBucketSeconds, kLastBucketSeconds}));

struct LatencyHistogram {
  Buckets buckets =
      bh::make_histogram(LatencyAxis{kBuckets, kFirstBucketSeconds, kLastBucketSeconds});
  double sum_seconds = 0;
  std::uint64_t count = 0;
};

using SeriesName = std::pair<std::string, std::string>;

// As the exposition format asks for values with quotes, backslashes and line breaks.
std::string Escaped(std::string_view value) {
  std::string escaped;
  for (const char it : value) {
    if (it == '\n') {
      escaped += "\\n";
      continue;
    }
    if (it == '"' || it == '\\') {
      escaped += '\\';
    }
    escaped += it;
  }
  return escaped;
}

std::string LabelText(std::string_view label, std::string_view value) {
  if (label.empty()) {
    return {};
  }
  return "{" + std::string(label) + "=\"" + Escaped(value) + "\"}";
}

// Writes the series of one kind of metric in the order of their names.
template <class Series>
void WriteSeries(std::ostream& out, const Series& all, std::string_view type) {
  std::string_view last;
  for (const auto& [series, number] : all) {
    if (series.first != last) {
      out << "# TYPE " << series.first << ' ' << type << '\n';
      last = series.first;
    }
    out << series.first << series.second << ' ' << number << '\n';
  }
}

void WriteHistogram(std::ostream& out, const std::string& name, const LatencyHistogram& histogram) {
  out << "# TYPE " << name << " histogram\n";
  // Index -1 is the underflow bucket: latencies below the first bound.
  auto cumulative = static_cast<std::uint64_t>(histogram.buckets.at(-1));
  const auto& axis = histogram.buckets.axis();
  out << name << "_bucket{le=\"" << axis.bin(0).lower() << "\"} " << cumulative << '\n';
  for (int n = 0; n < axis.size(); ++n) {
    cumulative += static_cast<std::uint64_t>(histogram.buckets.at(n));
    out << name << "_bucket{le=\"" << axis.bin(n).upper() << "\"} " << cumulative << '\n';
  }
  out << name << "_bucket{le=\"+Inf\"} " << histogram.count << '\n';
  out << name << "_sum " << histogram.sum_seconds << '\n';
  out << name << "_count " << histogram.count << '\n';
}

}  // namespace

class MetricRegistry::Impl {
 public:
  void Count(std::string_view name, std::string label, std::uint64_t amount) {
    const std::scoped_lock lock(mutex_);
    counters_[SeriesName(name, std::move(label))] += amount;
  }

  void Set(std::string_view name, std::string label, double number) {
    const std::scoped_lock lock(mutex_);
    gauges_[SeriesName(name, std::move(label))] = number;
  }

  void Observe(std::string_view name, double seconds) {
    const std::scoped_lock lock(mutex_);
    LatencyHistogram& histogram = histograms_[std::string(name)];
    histogram.buckets(seconds);
    histogram.sum_seconds += seconds;
    ++histogram.count;
  }

  std::string Expose() const {
    const std::scoped_lock lock(mutex_);
    std::ostringstream out;
    WriteSeries(out, counters_, "counter");
    WriteSeries(out, gauges_, "gauge");
    for (const auto& [name, histogram] : histograms_) {
      WriteHistogram(out, name, histogram);
    }
    return out.str();
  }

 private:
  mutable std::mutex mutex_;
  std::map<SeriesName, std::uint64_t> counters_;
  std::map<SeriesName, double> gauges_;
  std::map<std::string, LatencyHistogram> histograms_;
};

MetricRegistry::MetricRegistry() : impl_(std::make_unique<Impl>()) {}
MetricRegistry::~MetricRegistry() = default;

void MetricRegistry::Count(std::string_view name, std::string_view label, std::string_view value,
                           std::uint64_t amount) {
  impl_->Count(name, LabelText(label, value), amount);
}

void MetricRegistry::Set(std::string_view name, double number, std::string_view label,
                         std::string_view value) {
  impl_->Set(name, LabelText(label, value), number);
}

void MetricRegistry::Observe(std::string_view name, std::chrono::nanoseconds latency) {
  impl_->Observe(name, std::chrono::duration<double>(latency).count());
}

std::string MetricRegistry::Expose() const { return impl_->Expose(); }

}  // namespace clementineloom::metrics
