// The processes that `sassafrasdeck entry` and `sassafrasdeck control` run.
#ifndef APP_PROCESSES_H_
#define APP_PROCESSES_H_

#include "base/settings.h"

namespace sassafras {

// Run until SIGTERM; return an ExitCode.
int RunEntry(const Settings& settings);
int RunControl(const Settings& settings);

// Peer id of the control process of a host. The entry process uses the id of
// the host itself.
HostId ControlPeerId(const HostId& host);

}  // namespace sassafras

#endif  // APP_PROCESSES_H_
