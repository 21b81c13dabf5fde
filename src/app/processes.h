// The processes that the binary can be.
#ifndef APP_PROCESSES_H_
#define APP_PROCESSES_H_

#include "base/settings.h"

namespace sassafras {

// Run until told to stop; each returns an exit code.
int RunEntry(const Settings& settings);
int RunControl(const Settings& settings);

// Name under which a host's control process talks to its peers.
HostId ControlPeerId(const HostId& host);

}  // namespace sassafras

#endif  // APP_PROCESSES_H_
