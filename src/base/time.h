// Time types and conversions.
#ifndef BASE_TIME_H_
#define BASE_TIME_H_

#include <chrono>
#include <cstdint>

namespace sassafras {

// Monotonic instant with microsecond resolution. Decision functions receive
// it as an argument and never read a clock.
using Time = std::chrono::time_point<std::chrono::steady_clock,
                                     std::chrono::microseconds>;
using Duration = std::chrono::microseconds;

// Wall-clock instant with a resolution of one second, used only for dates that
// people read or write.
using WallTime =
    std::chrono::time_point<std::chrono::system_clock, std::chrono::seconds>;

inline Time MonotonicNow() {
  return std::chrono::time_point_cast<Duration>(
      std::chrono::steady_clock::now());
}

inline WallTime WallNow() {
  return std::chrono::time_point_cast<std::chrono::seconds>(
      std::chrono::system_clock::now());
}

// `d` in seconds, with fractions, for the computation of rates.
inline double Seconds(Duration d) {
  return std::chrono::duration<double>(d).count();
}

inline Duration FromSeconds(double s) {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(s));
}

// `d` in whole milliseconds, rounded towards zero.
inline int64_t Millis(Duration d) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(d).count();
}

}  // namespace sassafras

#endif  // BASE_TIME_H_
