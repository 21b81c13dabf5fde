// The state of a process as JSON, for operators.
#ifndef APP_STATE_DUMP_H_
#define APP_STATE_DUMP_H_

#include <string>

#include "base/time.h"
#include "decisions/control_node.h"
#include "decisions/entry_node.h"
#include "peers/peers.h"

namespace sassafras {

// The part called `part`, or all parts for an empty name. Empty for an
// unknown part. Bodies, keys and the shared key are left out.
std::string DumpEntry(const EntryNode& node,
                      const Mesh& mesh,
                      const std::string& part,
                      Time now);
std::string DumpControl(const ControlNode& node,
                        const std::string& part,
                        Time now);

}  // namespace sassafras

#endif  // APP_STATE_DUMP_H_
