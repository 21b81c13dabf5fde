// Parts of the control node's logic, shared between its source files only.
#ifndef DECISIONS_CONTROL_PARTS_H_
#define DECISIONS_CONTROL_PARTS_H_

#include <string>
#include <vector>

#include "decisions/control_node.h"

namespace sassafras::control_parts {

struct Turn {
  ControlNode& node;
  Time now;
  std::vector<ControlAction> actions;
};

void Log(Turn& turn, std::string text);
void CallStore(Turn& turn, std::variant<StoreGet, StoreList, StorePut> call);

// Derives plans and views from a complete reading of the store and writes
// those that changed (control_decide.cc).
void Decide(Turn& turn);

}  // namespace sassafras::control_parts

#endif  // DECISIONS_CONTROL_PARTS_H_
