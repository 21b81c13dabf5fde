// A gateway's state as JSON, for operators.
#ifndef GATEWAY_STATE_DUMP_H_
#define GATEWAY_STATE_DUMP_H_

#include <string>

#include "gateway/gateway_state.h"

namespace sassafras {

std::string DumpGateway(const GatewayState& state);

}  // namespace sassafras

#endif  // GATEWAY_STATE_DUMP_H_
