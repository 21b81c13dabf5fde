// The gateway: one process per host that takes callers' requests in the
// platform's form, steers them to endpoints and answers look-ups of hosts.
#ifndef GATEWAY_GATEWAY_H_
#define GATEWAY_GATEWAY_H_

#include <string>

#include "gateway/gateway_settings.h"

namespace sassafras {

// Runs until SIGTERM has been served; returns an exit code. `settings_path`
// is read again after SIGHUP and whenever the file changes.
int RunGateway(const GatewaySettings& settings,
               const std::string& settings_path);

}  // namespace sassafras

#endif  // GATEWAY_GATEWAY_H_
