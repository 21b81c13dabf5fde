// JSON dump of the state of an entry or control process, for operators.
#ifndef APP_STATE_DUMP_H_
#define APP_STATE_DUMP_H_

#include <string>

#include "base/time.h"
#include "decisions/control_node.h"
#include "decisions/entry_node.h"
#include "peers/peers.h"

namespace sassafras {

// Return the part named `part`, or all parts if the name is empty. Return an
// empty string for an unknown part. Request bodies, idempotency keys and the
// shared secret of the peers are not included.
std::string DumpEntry(const EntryNode& node,
                      const Mesh& mesh,
                      const std::string& part,
                      Time now);
std::string DumpControl(const ControlNode& node,
                        const std::string& part,
                        Time now);

}  // namespace sassafras

#endif  // APP_STATE_DUMP_H_
