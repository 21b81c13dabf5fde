// A randomized run of real gateway processes against stand-ins, with faults
// from outside them, that checks what callers and endpoints see.
#ifndef SOAK_SOAK_H_
#define SOAK_SOAK_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace sassafras {

struct SoakOptions {
  uint64_t seed = 1;
  int network = 90;  // Second part of the loopback addresses.
  int hosts = 6;
  int endpoints = 6;
  int rounds = 1;  // Each harms, heals, waits and checks.
  std::chrono::milliseconds harm{5000};
  bool is_verbose = false;
};

struct SoakReport {
  std::vector<std::string> faults;      // What was broken when.
  std::vector<std::string> violations;  // What must not be.
  std::vector<std::string> log_lines;   // Of the requests concerned.
  size_t requests = 0;
  size_t served = 0;
  size_t refused = 0;
  size_t failed = 0;
  size_t cut = 0;
};

// Every third seed brings planned work only: stops, reloads, configurations,
// endpoints that leave. Then no request may be lost.
SoakReport RunSoak(const SoakOptions& options);

}  // namespace sassafras

#endif  // SOAK_SOAK_H_
