// Keeps the reserve of each service's endpoints in step with the demand that
// the hosts tell each other.
#ifndef GATEWAY_RESERVES_H_
#define GATEWAY_RESERVES_H_

#include "gateway/gateway_state.h"

namespace sassafras {

// Takes over what other hosts have said of their demand, and makes this host's
// ready to be sent.
void RefreshReserves(GatewayState& state);

}  // namespace sassafras

#endif  // GATEWAY_RESERVES_H_
