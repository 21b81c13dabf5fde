// A bounded load of callers: look-ups with caching, calls of several kinds
// and a table of what came back.
#ifndef LOAD_LOAD_H_
#define LOAD_LOAD_H_

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "base/address.h"
#include "base/loop.h"

namespace sassafras {

// One kind of request.
struct LoadKind {
  std::string name;  // Row of the table.
  std::string service;
  std::string method = "GET";
  std::string path;  // Below the service.
  size_t body_bytes = 0;
  bool with_key = false;
  double requests_per_second = 10;
  std::chrono::milliseconds timeout{5000};
};

struct LoadPlan {
  std::vector<Address> entries;  // Any entry hosts, asked for look-ups.
  std::vector<LoadKind> kinds;
  std::chrono::seconds duration{10};
  // Simulated callers; each has an address of its own, in turn in one of the
  // /16 networks that follow the first.
  size_t callers = 100;
  std::string first_client_ip = "10.1.0.1";
  size_t networks = 3;
  uint64_t seed = 1;
  // Requests that may be open at once; more are held back and counted.
  uint64_t max_open = 3000;
};

struct LoadRow {
  std::string name;
  uint64_t sent = 0;
  uint64_t held_back = 0;  // Not sent, since too many were open.
  uint64_t answered = 0;   // Status below 400.
  uint64_t refused_not_run = 0;
  uint64_t refused_unknown = 0;
  uint64_t broken = 0;              // No whole answer.
  std::vector<Duration> latencies;  // Of answered requests.
};

// Latency that `part` of the requests stay below; zero without any.
Duration Percentile(const LoadRow& row, double part);

// Sends the load and waits for its answers. `on_second(row table)` is called
// once a second.
std::vector<LoadRow> RunLoad(
    Loop& loop,
    const LoadPlan& plan,
    const std::function<void(const std::vector<LoadRow>&)>& on_second);

// The rows as a table of text.
std::string LoadTable(const std::vector<LoadRow>& rows);

}  // namespace sassafras

#endif  // LOAD_LOAD_H_
