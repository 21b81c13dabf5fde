// Dumps a gateway's state as JSON for operators.
#ifndef GATEWAY_STATE_DUMP_H_
#define GATEWAY_STATE_DUMP_H_

#include <string>

#include "gateway/gateway_state.h"

namespace sassafras {

// Returns a JSON object with the gateway's endpoints, reserves, suspect
// requests, evacuated availability zones and other hosts. Names that end in _ms
// are in milliseconds; report_age_ms is -1 for an endpoint without a load
// report.
std::string DumpGateway(const GatewayState& state);

}  // namespace sassafras

#endif  // GATEWAY_STATE_DUMP_H_
