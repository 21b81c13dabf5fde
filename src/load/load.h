// Load generator: simulated callers that cache look-ups and send several kinds
// of calls at fixed rates, and a table of the results.
#ifndef LOAD_LOAD_H_
#define LOAD_LOAD_H_

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "base/address.h"
#include "base/loop.h"

namespace sassafras {

// Requests of one kind, sent at a fixed rate.
struct LoadKind {
  std::string name;  // Name of its row in the table.
  std::string service;
  std::string method = "GET";
  std::string path;  // Within the service.
  size_t body_bytes = 0;
  bool with_key = false;
  double requests_per_second = 10;
  std::chrono::milliseconds timeout{5000};
};

struct LoadPlan {
  // Entry hosts that answer the look-ups; at least one.
  std::vector<Address> entries;
  std::vector<LoadKind> kinds;
  std::chrono::seconds duration{10};
  // Simulated callers. Each has an IP address of its own; the callers are
  // spread over `networks` consecutive /16 networks from `first_client_ip` on.
  size_t callers = 100;
  std::string first_client_ip = "10.1.0.1";
  size_t networks = 3;
  uint64_t seed = 1;
  // Maximum number of open requests. Those above it are not sent, but counted
  // in LoadRow::held_back.
  uint64_t max_open = 3000;
};

struct LoadRow {
  std::string name;
  uint64_t sent = 0;
  uint64_t held_back = 0;           // Not sent, as max_open requests were open.
  uint64_t answered = 0;            // Status below 400.
  uint64_t refused_not_run = 0;     // Status from 400, stated as not run.
  uint64_t refused_unknown = 0;     // Other answers with a status from 400.
  uint64_t broken = 0;              // No complete answer, or no look-up.
  std::vector<Duration> latencies;  // Of answered requests.
};

// Latency that `fraction` (0 to 1) of the answered requests does not
// exceed; zero if none was answered.
Duration Percentile(const LoadRow& row, double fraction);

// Sends the load and waits up to 20 seconds for the open answers. Calls
// `on_second` with the current rows once a second. Returns one row per kind.
std::vector<LoadRow> RunLoad(
    Loop& loop,
    const LoadPlan& plan,
    const std::function<void(const std::vector<LoadRow>&)>& on_second);

// Formats the rows as a text table.
std::string LoadTable(const std::vector<LoadRow>& rows);

}  // namespace sassafras

#endif  // LOAD_LOAD_H_
