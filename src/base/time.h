// Time types shared by all parts.
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

// Wall-clock instant, used only where people write or read a date.
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

// Length of `d` in seconds, as a real number for rate arithmetic.
inline double Seconds(Duration d) {
  return std::chrono::duration<double>(d).count();
}

inline Duration FromSeconds(double s) {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(s));
}

inline int64_t Millis(Duration d) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(d).count();
}

}  // namespace sassafras

#endif  // BASE_TIME_H_
