// Internal declarations shared by the source files of the control node.
#ifndef DECISIONS_CONTROL_PARTS_H_
#define DECISIONS_CONTROL_PARTS_H_

#include <string>
#include <vector>

#include "decisions/control_node.h"

namespace sassafras::control_parts {

// One run of Handle() with the actions collected so far.
struct EventRun {
  ControlNode& node;
  Time now;
  std::vector<ControlAction> actions;
};

void Log(EventRun& run, std::string text);
void CallStore(EventRun& run, std::variant<StoreGet, StoreList, StorePut> call);

// Computes plans and views from a complete reading of the store and writes
// those that changed (control_decide.cc).
void Decide(EventRun& run);

}  // namespace sassafras::control_parts

#endif  // DECISIONS_CONTROL_PARTS_H_
