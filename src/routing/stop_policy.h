// Decides whether a host that is shutting down may still start a request, and
// when the steps of its stop are due.
//
// Handles planned stops: requests that arrive late in the stop timeout would be
// cut by the exit of the process. A caller can send a refused request to
// another host, but not a request of unknown outcome that must run only once.
#ifndef ROUTING_STOP_POLICY_H_
#define ROUTING_STOP_POLICY_H_

#include "base/time.h"
#include "routing/admission.h"
#include "routing/steering_config.h"

namespace sassafras {

// Times since the signal to stop.
struct StopSchedule {
  // Requests that arrive later must not be cut by the exit of the process.
  Duration no_cuts{};
  Duration drain{};          // No new connections; idle ones are closed.
  Duration final_answers{};  // Open requests are answered with an error.
  Duration exit{};           // The process exits, even if answers are unsent.
};

// `stop_timeout`: from the signal to stop until the process is killed.
StopSchedule MakeStopSchedule(Duration stop_timeout);

// A request that arrives at a host that is shutting down.
struct StoppingRequest {
  Duration time_limit{};         // Until the request's deadline.
  Duration until_final{};        // Until open requests get their final answers.
  bool must_not_be_cut = false;  // It arrived after StopSchedule::no_cuts.
};

// Whether a request of `route` may start.
//
// A request that may run only once, or must not be cut, starts if its deadline
// comes before the final answers; any other one also if it is likely to be
// answered by then.
bool MayStartWhileStopping(const AdmissionState& state,
                           const RequestRoute& route,
                           const StoppingRequest& request);

}  // namespace sassafras

#endif  // ROUTING_STOP_POLICY_H_
