// Internal functions of the entry node, shared between its source files only.
#ifndef DECISIONS_ENTRY_PARTS_H_
#define DECISIONS_ENTRY_PARTS_H_

#include <vector>

#include "decisions/entry_node.h"

namespace sassafras::entry_parts {

// State of one call of Handle(): the node, the time and the resulting actions.
// Messages to the node itself are collected in `local` and handled before
// Handle() returns.
struct EventRun {
  EntryNode& node;
  Time now;
  std::vector<EntryAction> actions;
  std::vector<Message> local;
};

void Send(EventRun& run, const HostId& to, Message message);
void SendAll(EventRun& run, std::vector<Envelope> envelopes);
void Log(EventRun& run, const char* part, std::string text);

// Documents, heartbeats and reports (entry_spread.cc).
void HandleStoreObjects(EventRun& run, const StoreObjects& objects);
void HandleDocumentBatch(EventRun& run,
                         const HostId& from,
                         const DocumentBatch& batch);
void HandleDocumentSummary(EventRun& run,
                           const HostId& from,
                           const DocumentSummary& summary);
void HandleHeartbeat(EventRun& run,
                     const HostId& from,
                     const Heartbeat& heartbeat);
void HandleHostReport(EventRun& run, const HostReport& report);
void HandleStatusWritten(EventRun& run, const StatusWritten& written);
void SpreadTick(EventRun& run);

// Requests of callers (entry_requests.cc).
void HandleCallArrived(EventRun& run, const CallArrived& call);
void HandleCallerGone(EventRun& run, const CallerGone& gone);
void HandleDispatchEnded(EventRun& run, const DispatchEnded& ended);
void HandleSlotGrant(EventRun& run, const HostId& from, const SlotGrant& grant);
void HandleSlotRefusal(EventRun& run, const SlotRefusal& refusal);
void HandleSlotAudit(EventRun& run, const HostId& from, const SlotAudit& audit);
void HandleKeyGrant(EventRun& run, const KeyGrant& grant);
void HandleKeyRefusal(EventRun& run, const KeyRefusal& refusal);
void HandleKeyAnswer(EventRun& run, const KeyAnswer& answer);
void HandleKeyCompleted(EventRun& run, const KeyCompleted& completed);
void RequestsTick(EventRun& run);

// Slots granted by this host (entry_slots.cc).
void HandleSlotRequest(EventRun& run,
                       const HostId& from,
                       const SlotRequest& request);
void HandleSlotRelease(EventRun& run,
                       const HostId& from,
                       const SlotRelease& release);
void ConfigureGranters(EventRun& run);
void SlotsTick(EventRun& run);
void DropStateOfHost(EventRun& run, const HostId& host);
HostId GranterOf(const EntryNode& node,
                 const ServiceId& service,
                 const ZoneId& zone,
                 Time now);

// Keys held by this host (entry_keys.cc).
LedgerContext KeyContext(const EventRun& run);
void HandleLedgerMessage(EventRun& run,
                         const HostId& from,
                         const Message& message);
void KeysTick(EventRun& run);

// Recomputes traffic flows and the look-up table after a change
// (entry_node.cc).
void RefreshRouting(EventRun& run);

}  // namespace sassafras::entry_parts

#endif  // DECISIONS_ENTRY_PARTS_H_
