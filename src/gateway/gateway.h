// The gateway process, one per host. It accepts callers' HTTP requests,
// forwards them to endpoints and answers directory look-ups, by which callers
// find hosts.
#ifndef GATEWAY_GATEWAY_H_
#define GATEWAY_GATEWAY_H_

#include <string>

#include "gateway/gateway_settings.h"

namespace sassafras {

// Runs the gateway until it has shut down after SIGTERM or SIGINT. Returns the
// exit code: 0, or 1 if the start failed. Reads `settings_path` again after
// SIGHUP and whenever the file changes.
int RunGateway(const GatewaySettings& settings,
               const std::string& settings_path);

}  // namespace sassafras

#endif  // GATEWAY_GATEWAY_H_
