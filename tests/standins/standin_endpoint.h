// A small stand-in for an endpoint: slots, work time, shedding, load reports,
// faults on command and a record of every run.
//
// PUT /standin/control takes a JSON object of these fields, all optional:
//   work_ms (int)       time that a request holds a slot
//   fail (bool)         answer 500 after 1 ms
//   report_idle (bool)  report no load whatever runs
//   drain (bool)        shed everything
//   break_answers (bool) close the connection after the request was read
// GET /standin/runs tells how often each idempotency key (or target) ran.
// A request whose target contains "poison" ends the process.
#ifndef STANDINS_STANDIN_ENDPOINT_H_
#define STANDINS_STANDIN_ENDPOINT_H_

#include <memory>

#include "base/address.h"
#include "base/error.h"
#include "base/loop.h"

namespace sassafras {

// Header of a 503 that proves that nothing ran.
inline constexpr char kStandinShedHeader[] = "Endpoint-Not-Run";

struct StandinEndpointConfig {
  Address listen;
  int slots = 3;
  std::chrono::milliseconds work{20};
  // For this long after the start the work takes three times as long.
  std::chrono::milliseconds cold{0};
};

class StandinEndpoint {
 public:
  virtual ~StandinEndpoint() = default;
};

Result<std::unique_ptr<StandinEndpoint>> StartStandinEndpoint(
    Loop& loop,
    const StandinEndpointConfig& config);

}  // namespace sassafras

#endif  // STANDINS_STANDIN_ENDPOINT_H_
