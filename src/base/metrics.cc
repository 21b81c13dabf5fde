#include "base/metrics.h"

#include <map>
#include <sstream>
#include <utility>

#include <boost/histogram.hpp>

namespace sassafras {

namespace {

namespace bh = boost::histogram;

// Histogram buckets on a logarithmic scale from 50 µs to 100 s.
constexpr unsigned kBucketCount = 42;
constexpr double kMinSeconds = 50e-6;
constexpr double kMaxSeconds = 100.0;

using Axis = bh::axis::regular<double, bh::axis::transform::log>;
using Histogram = decltype(bh::make_histogram(Axis()));

struct Timing {
  Histogram histogram =
      bh::make_histogram(Axis(kBucketCount, kMinSeconds, kMaxSeconds));
  double sum_seconds = 0;
  uint64_t count = 0;
};

using SeriesKey = std::pair<std::string, std::string>;

std::string FormatLabels(const std::string& labels, const std::string& more) {
  std::string both = labels;
  if (!both.empty() && !more.empty())
    both += ',';
  both += more;
  return both.empty() ? both : "{" + both + "}";
}

void WriteTiming(const SeriesKey& key, const Timing& t, std::ostream& os) {
  double cumulative = t.histogram.at(-1);
  for (int i = 0; i < static_cast<int>(kBucketCount); ++i) {
    cumulative += t.histogram.at(i);
    std::ostringstream le;
    le << "le=\"" << t.histogram.axis().bin(i).upper() << '"';
    os << key.first << "_bucket" << FormatLabels(key.second, le.str()) << ' '
       << cumulative << '\n';
  }
  os << key.first << "_bucket" << FormatLabels(key.second, "le=\"+Inf\"") << ' '
     << t.count << '\n';
  os << key.first << "_sum" << FormatLabels(key.second, "") << ' '
     << t.sum_seconds << '\n';
  os << key.first << "_count" << FormatLabels(key.second, "") << ' ' << t.count
     << '\n';
}

}  // namespace

std::string MetricLabel(std::string_view name, std::string_view value) {
  std::string out(name);
  out += "=\"";
  for (const char c : value) {
    if (c == '\n') {
      out += "\\n";
      continue;
    }
    if (c == '"' || c == '\\')
      out += '\\';
    out += c;
  }
  return out + '"';
}

struct Metrics::Impl {
  std::map<SeriesKey, uint64_t> counters;
  std::map<SeriesKey, Timing> timings;
};

Metrics::Metrics() : impl_(std::make_unique<Impl>()) {}
Metrics::~Metrics() = default;

void Metrics::Count(const std::string& name,
                    const std::string& labels,
                    uint64_t n) {
  impl_->counters[{name, labels}] += n;
}

void Metrics::Observe(const std::string& name,
                      const std::string& labels,
                      Duration value) {
  Timing& t = impl_->timings[{name, labels}];
  t.histogram(Seconds(value));
  t.sum_seconds += Seconds(value);
  ++t.count;
}

std::string Metrics::Expose() const {
  std::ostringstream os;
  for (const auto& [key, n] : impl_->counters)
    os << key.first << FormatLabels(key.second, "") << ' ' << n << '\n';
  for (const auto& [key, t] : impl_->timings)
    WriteTiming(key, t, os);
  return os.str();
}

}  // namespace sassafras
