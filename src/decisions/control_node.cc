#include "decisions/control_node.h"

#include <algorithm>
#include <utility>

#include "decisions/control_parts.h"
#include "decisions/json_forms.h"

namespace sassafras {

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(LeaseObject, holder, term, renewal)

namespace control_parts {

namespace {

constexpr char kLeaseName[] = "planner";

bool IsContender(const ControlNode& node, Time now) {
  return node.is_relay && node.entry_last_heard != Time() &&
         now - node.entry_last_heard <= node.limits.entry_timeout;
}

template <typename T>
const T* FindCall(const ControlNode& node, uint64_t id) {
  const auto it = node.calls.find(id);
  return it == node.calls.end() ? nullptr : std::get_if<T>(&it->second.call);
}

bool IsLeaseCallPending(const ControlNode& node) {
  return std::any_of(node.calls.begin(), node.calls.end(), [](const auto& it) {
    const auto* get = std::get_if<StoreGet>(&it.second.call);
    const auto* put = std::get_if<StorePut>(&it.second.call);
    return (get && get->kind == kLeaseKind) || (put && put->kind == kLeaseKind);
  });
}

bool IsWritePending(const ControlNode& node) {
  return std::any_of(node.calls.begin(), node.calls.end(), [](const auto& it) {
    const auto* put = std::get_if<StorePut>(&it.second.call);
    return put && put->kind != kLeaseKind;
  });
}

void DropTimedOutCalls(ControlNode& node, Time now) {
  for (auto it = node.calls.begin(); it != node.calls.end();) {
    if (now - it->second.sent > node.limits.call_timeout)
      it = node.calls.erase(it);
    else
      ++it;
  }
}

// ---- Lease ----

void ReadLease(EventRun& run) {
  CallStore(run, StoreGet{kLeaseKind, kLeaseName});
}

void WriteLease(EventRun& run) {
  StorePut put;
  put.kind = kLeaseKind;
  put.name = kLeaseName;
  put.expected_revision = run.node.lease.revision;
  put.value = Json(NextLease(run.node.lease, run.node.self.id)).dump();
  CallStore(run, std::move(put));
}

void TickLease(EventRun& run) {
  ControlNode& node = run.node;
  if (IsLeaseCallPending(node))
    return;
  const LeaseStep step =
      NextLeaseStep(node.lease, node.self.id, IsContender(node, run.now),
                    node.limits.lease, run.now);
  if (step != LeaseStep::kWait) {
    WriteLease(run);
    return;
  }
  const bool poll = IsContender(node, run.now) &&
                    run.now >= node.next_lease_poll && !IsLeader(node, run.now);
  if (!poll)
    return;
  node.next_lease_poll = run.now + node.limits.lease.poll_interval;
  ReadLease(run);
}

void HandleLeaseReply(EventRun& run, const StoreReply& reply) {
  ControlNode& node = run.node;
  if (reply.status == StoreStatus::kNotFound) {
    if (!node.lease.known) {
      node.lease.known = true;
      node.lease.changed = run.now;
    }
    return;
  }
  for (const StoreObject& it : reply.objects) {
    const auto object = TryReadPayload<LeaseObject>(it.value);
    if (object)
      ObserveLease(node.lease, *object, it.revision, run.now);
  }
}

void HandleLeaseWriteReply(EventRun& run, Time sent, const StoreReply& reply) {
  ControlNode& node = run.node;
  const bool led = IsLeader(node, run.now);
  HandleLeaseReply(run, reply);
  if (reply.status == StoreStatus::kOk)
    node.lease.renewed = sent;
  // The write may have taken effect; read the lease to find its holder.
  if (reply.status == StoreStatus::kUnknown)
    ReadLease(run);
  const bool leads = IsLeader(node, run.now);
  if (leads && !led) {
    node.leading_since = run.now;
    node.next_read = run.now;
    Log(run, "Lease acquired. term=" + std::to_string(node.lease.object.term));
  }
  if (!leads && led)
    Log(run, "Lease lost to another host.");
}

// ---- Reading ----

void ReadStore(EventRun& run) {
  ControlNode& node = run.node;
  node.next_read = run.now + node.limits.read_interval;
  node.unread_kinds.clear();
  node.is_reading_handled = false;
  for (const DocumentKind it : kAllDocumentKinds)
    node.unread_kinds.insert(std::string(NameOf(it)));
  node.unread_kinds.insert(kStatusKind);
  for (const std::string& it : node.unread_kinds)
    CallStore(run, StoreList{it});
}

void HandleZoneStatus(ControlNode& node, const StoreObject& object, Time now) {
  auto status = TryReadPayload<ZoneStatus>(object.value);
  if (!status)
    return;
  const auto it = node.statuses.find(status->zone);
  const bool same = it != node.statuses.end() &&
                    it->second.status.sequence == status->sequence &&
                    it->second.status.reporter == status->reporter;
  if (same)
    return;
  const ZoneId zone = status->zone;
  node.statuses[zone] = {std::move(*status), now};
}

void HandleDocumentObject(EventRun& run,
                          DocumentKind kind,
                          const StoreObject& object) {
  ControlNode& node = run.node;
  const auto document = DocumentOf(kind, object);
  if (!document)
    return;
  // A list from a stale replica of the store must not replace newer objects.
  uint64_t& revision = node.revisions[document->key];
  if (object.revision < revision)
    return;
  revision = object.revision;
  node.stored_versions[document->key] = document->version;
  Accept(node.replica, *document, run.now);
}

void HandleListReply(EventRun& run,
                     const std::string& kind,
                     const StoreReply& reply) {
  ControlNode& node = run.node;
  if (reply.status != StoreStatus::kOk)
    return;
  for (const StoreObject& it : reply.objects) {
    if (kind == kStatusKind)
      HandleZoneStatus(node, it, run.now);
    else if (const auto document_kind = FromName<DocumentKind>(kind))
      HandleDocumentObject(run, *document_kind, it);
  }
  node.unread_kinds.erase(kind);
  if (!node.unread_kinds.empty() || node.is_reading_handled)
    return;
  node.is_reading_handled = true;
  if (IsLeader(node, run.now) && !IsWritePending(node))
    Decide(run);
}

// Adopts a written document at once and sends it to the entry process. After
// a conflict or a lost answer the next reading shows the stored document.
void HandleWriteReply(EventRun& run,
                      const StorePut& put,
                      const StoreReply& reply) {
  const auto kind = FromName<DocumentKind>(put.kind);
  if (!kind || reply.status != StoreStatus::kOk)
    return;
  for (const StoreObject& it : reply.objects) {
    HandleDocumentObject(run, *kind, it);
    const Replica::Entry* entry =
        Find(run.node.replica, DocumentKey{*kind, it.name});
    if (entry && !run.node.entry.empty())
      run.actions.push_back(
          Envelope{run.node.entry, DocumentBatch{{entry->document}}});
  }
}

void HandleStoreAnswer(EventRun& run, const StoreAnswer& answer) {
  ControlNode& node = run.node;
  const auto it = node.calls.find(answer.id);
  if (it == node.calls.end())
    return;  // Timed out earlier.
  const ControlNode::PendingCall pending = it->second;
  node.calls.erase(it);
  if (std::get_if<StoreGet>(&pending.call)) {
    HandleLeaseReply(run, answer.reply);
  } else if (const auto* list = std::get_if<StoreList>(&pending.call)) {
    HandleListReply(run, list->kind, answer.reply);
  } else if (const auto* put = std::get_if<StorePut>(&pending.call)) {
    if (put->kind == kLeaseKind)
      HandleLeaseWriteReply(run, pending.sent, answer.reply);
    else
      HandleWriteReply(run, *put, answer.reply);
  }
}

// ---- The entry process of the same host ----

void HandleHeartbeat(EventRun& run, const HostId& from, const Heartbeat& beat) {
  ControlNode& node = run.node;
  node.entry_last_heard = run.now;
  node.is_relay = beat.relay && !beat.leaving;
  for (const ZoneMembership& it : beat.zones)
    node.zone_memberships[it.zone] = {run.now, it};
  if (beat.digest != node.replica.digest) {
    run.actions.push_back(
        Envelope{from, DocumentSummary{Summarize(node.replica)}});
  }
}

void HandlePeerMessage(EventRun& run, const PeerMessage& message) {
  ControlNode& node = run.node;
  if (message.from != node.entry)
    return;
  if (const auto* beat = std::get_if<Heartbeat>(&message.message)) {
    HandleHeartbeat(run, message.from, *beat);
  } else if (const auto* batch = std::get_if<DocumentBatch>(&message.message)) {
    for (const Document& it : batch->documents)
      Accept(node.replica, it, run.now);
  } else if (const auto* summary =
                 std::get_if<DocumentSummary>(&message.message)) {
    std::vector<Document> newer = NewerThan(node.replica, summary->versions);
    if (!newer.empty()) {
      run.actions.push_back(
          Envelope{message.from, DocumentBatch{std::move(newer)}});
    }
  }
}

void Tick(EventRun& run) {
  ControlNode& node = run.node;
  DropTimedOutCalls(node, run.now);
  TickLease(run);
  if (IsLeader(node, run.now) && run.now >= node.next_read)
    ReadStore(run);
  node.next_tick = run.now + node.limits.tick_interval;
  run.actions.push_back(SetTimer{node.next_tick});
}

}  // namespace

void Log(EventRun& run, std::string text) {
  run.actions.push_back(LogEvent{"control", std::move(text)});
}

void CallStore(EventRun& run,
               std::variant<StoreGet, StoreList, StorePut> call) {
  const uint64_t id = ++run.node.last_call_id;
  run.node.calls[id] = {call, run.now};
  run.actions.push_back(StoreCall{id, std::move(call)});
}

}  // namespace control_parts

ControlNode::ControlNode(Topology topology_in, Host self_in)
    : topology(std::move(topology_in)), self(std::move(self_in)) {}

std::vector<ControlAction> StartControl(ControlNode& node, Time now) {
  return Handle(node, TimerFired{}, now);
}

std::vector<ControlAction> Handle(ControlNode& node,
                                  const ControlEvent& event,
                                  Time now) {
  control_parts::EventRun run{node, now, {}};
  if (const auto* message = std::get_if<PeerMessage>(&event))
    control_parts::HandlePeerMessage(run, *message);
  else if (const auto* answer = std::get_if<StoreAnswer>(&event))
    control_parts::HandleStoreAnswer(run, *answer);
  else if (std::get_if<TimerFired>(&event))
    control_parts::Tick(run);
  return std::move(run.actions);
}

bool IsLeader(const ControlNode& node, Time now) {
  return HoldsLease(node.lease, node.self.id, node.limits.lease, now);
}

}  // namespace sassafras
