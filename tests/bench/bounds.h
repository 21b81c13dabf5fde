// Regression bounds of the benchmarks, from data/bench_bounds.toml.
#ifndef TESTS_BENCH_BOUNDS_H_
#define TESTS_BENCH_BOUNDS_H_

#include <string>

namespace sassafras {

// Compares measured values with the bounds and remembers breaches.
class Bounds {
 public:
  // Ends the process if the file cannot be read.
  explicit Bounds(const std::string& file);
  ~Bounds();
  Bounds(const Bounds&) = delete;
  Bounds& operator=(const Bounds&) = delete;

  // `name` is "section.field"; its ending, _max or _min, gives the direction.
  void Check(const std::string& name, double measured);
  // Number of breaches so far.
  int breaches() const { return breaches_; }

 private:
  struct Impl;
  Impl* impl_;
  int breaches_ = 0;
};

}  // namespace sassafras

#endif  // TESTS_BENCH_BOUNDS_H_
