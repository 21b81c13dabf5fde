// Parts of the entry node's logic, shared between its source files only.
#ifndef DECISIONS_ENTRY_PARTS_H_
#define DECISIONS_ENTRY_PARTS_H_

#include <vector>

#include "decisions/entry_node.h"

namespace sassafras::entry_parts {

// One run of Handle(): the node, the time and what is to be done. Messages to
// the node itself are kept in `local` and handled before the run ends.
struct Turn {
  EntryNode& node;
  Time now;
  std::vector<EntryAction> actions;
  std::vector<Message> local;
};

void Send(Turn& turn, const HostId& to, Message message);
void SendAll(Turn& turn, std::vector<Envelope> envelopes);
void Log(Turn& turn, const char* part, std::string text);

// Documents, heartbeats and reports (entry_spread.cc).
void TakeObjects(Turn& turn, const StoreObjects& objects);
void TakeBatch(Turn& turn, const HostId& from, const DocumentBatch& batch);
void TakeSummary(Turn& turn,
                 const HostId& from,
                 const DocumentSummary& summary);
void TakeHeartbeat(Turn& turn, const HostId& from, const Heartbeat& beat);
void TakeReport(Turn& turn, const HostReport& report);
void TakeStatusWritten(Turn& turn, const StatusWritten& written);
void SpreadTick(Turn& turn);

// Requests of callers (entry_requests.cc).
void BeginCall(Turn& turn, const CallArrived& call);
void EndCaller(Turn& turn, const CallerGone& gone);
void EndDispatch(Turn& turn, const DispatchEnded& ended);
void TakeSlotGrant(Turn& turn, const HostId& from, const SlotGrant& grant);
void TakeSlotRefusal(Turn& turn, const SlotRefusal& refusal);
void TakeSlotAudit(Turn& turn, const HostId& from, const SlotAudit& audit);
void TakeKeyGo(Turn& turn, const KeyGo& go);
void TakeKeyRefusal(Turn& turn, const KeyRefusal& refusal);
void TakeKeyAnswer(Turn& turn, const KeyAnswer& answer);
void TakeKeyCompleted(Turn& turn, const KeyCompleted& completed);
void RequestsTick(Turn& turn);

// Slots granted by this host (entry_slots.cc).
void TakeSlotRequest(Turn& turn,
                     const HostId& from,
                     const SlotRequest& request);
void TakeSlotRelease(Turn& turn,
                     const HostId& from,
                     const SlotRelease& release);
void ConfigureGranters(Turn& turn);
void SlotsTick(Turn& turn);
void ForgetHost(Turn& turn, const HostId& host);
HostId GranterOf(const EntryNode& node,
                 const ServiceId& service,
                 const ZoneId& zone,
                 Time now);

// Keys held by this host (entry_keys.cc).
LedgerContext KeyContext(const Turn& turn);
void TakeKeyMessage(Turn& turn, const HostId& from, const Message& message);
void KeysTick(Turn& turn);

// Flows and look-up table after a change (entry_node.cc).
void RefreshRouting(Turn& turn);

}  // namespace sassafras::entry_parts

#endif  // DECISIONS_ENTRY_PARTS_H_
