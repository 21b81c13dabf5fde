// Counters and latency histograms of a process, exported in the Prometheus text
// format.
#ifndef BASE_METRICS_H_
#define BASE_METRICS_H_

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "base/time.h"

namespace sassafras {

// The label `name` with `value`, escaped as the text format requires.
std::string MetricLabel(std::string_view name, std::string_view value);

class Metrics {
 public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  // Adds `n` to the counter `name` with its `labels`, such as `code="ok"`.
  void Count(const std::string& name,
             const std::string& labels,
             uint64_t n = 1);
  // Records a duration in the histogram `name`, in seconds.
  void Observe(const std::string& name,
               const std::string& labels,
               Duration value);
  // All series in the text format.
  std::string Expose() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace sassafras

#endif  // BASE_METRICS_H_
