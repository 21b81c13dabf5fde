// Adjusts the share of each service's endpoints that is reserved for urgent
// requests to the demand that the hosts report to each other by gossip. See
// routing/urgent_reserve.h.
#ifndef GATEWAY_RESERVES_H_
#define GATEWAY_RESERVES_H_

#include "gateway/gateway_state.h"

namespace sassafras {

// Updates the reserves from the demand that this and other hosts have reported,
// and refreshes this host's own demand for the next gossip message. Does
// nothing before the first configuration has been read.
void RefreshReserves(GatewayState& state);

}  // namespace sassafras

#endif  // GATEWAY_RESERVES_H_
