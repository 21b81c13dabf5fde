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
  return node.is_relay && node.entry_heard != Time() &&
         now - node.entry_heard <= node.limits.entry_timeout;
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

void GiveUpCalls(ControlNode& node, Time now) {
  for (auto it = node.calls.begin(); it != node.calls.end();) {
    if (now - it->second.sent > node.limits.call_timeout)
      it = node.calls.erase(it);
    else
      ++it;
  }
}

// ---- Lease ----

void ReadLease(Turn& turn) {
  CallStore(turn, StoreGet{kLeaseKind, kLeaseName});
}

void WriteLease(Turn& turn) {
  StorePut put;
  put.kind = kLeaseKind;
  put.name = kLeaseName;
  put.expected_revision = turn.node.lease.revision;
  put.value = Json(NextLease(turn.node.lease, turn.node.self.id)).dump();
  CallStore(turn, std::move(put));
}

void TickLease(Turn& turn) {
  ControlNode& node = turn.node;
  if (IsLeaseCallPending(node))
    return;
  const LeaseStep step =
      NextLeaseStep(node.lease, node.self.id, IsContender(node, turn.now),
                    node.limits.lease, turn.now);
  if (step != LeaseStep::kWait) {
    WriteLease(turn);
    return;
  }
  const bool poll = IsContender(node, turn.now) &&
                    turn.now >= node.next_lease_poll &&
                    !IsLeader(node, turn.now);
  if (!poll)
    return;
  node.next_lease_poll = turn.now + node.limits.lease.poll_every;
  ReadLease(turn);
}

void TakeLease(Turn& turn, const StoreReply& reply) {
  ControlNode& node = turn.node;
  if (reply.status == StoreStatus::kNotFound) {
    if (!node.lease.known) {
      node.lease.known = true;
      node.lease.changed = turn.now;
    }
    return;
  }
  for (const StoreObject& it : reply.objects) {
    const auto object = TryReadPayload<LeaseObject>(it.value);
    if (object)
      ObserveLease(node.lease, *object, it.revision, turn.now);
  }
}

void TakeLeaseWrite(Turn& turn, Time sent, const StoreReply& reply) {
  ControlNode& node = turn.node;
  const bool led = IsLeader(node, turn.now);
  TakeLease(turn, reply);
  if (reply.status == StoreStatus::kOk)
    node.lease.renewed = sent;
  // After a lost answer the next read tells who holds the lease.
  if (reply.status == StoreStatus::kUnknown)
    ReadLease(turn);
  const bool leads = IsLeader(node, turn.now);
  if (leads && !led) {
    node.leading_since = turn.now;
    node.next_read = turn.now;
    Log(turn, "Lease is taken. term=" + std::to_string(node.lease.object.term));
  }
  if (!leads && led)
    Log(turn, "Lease is lost.");
}

// ---- Reading ----

void ReadStore(Turn& turn) {
  ControlNode& node = turn.node;
  node.next_read = turn.now + node.limits.read_every;
  node.unread.clear();
  node.decided = false;
  for (const DocumentKind it : kAllDocumentKinds)
    node.unread.insert(std::string(NameOf(it)));
  node.unread.insert(kStatusKind);
  for (const std::string& it : node.unread)
    CallStore(turn, StoreList{it});
}

void TakeStatus(ControlNode& node, const StoreObject& object, Time now) {
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

void TakeDocumentObject(Turn& turn,
                        DocumentKind kind,
                        const StoreObject& object) {
  ControlNode& node = turn.node;
  const auto document = DocumentOf(kind, object);
  if (!document)
    return;
  // A list from a stale replica of the store must not lower what was read.
  uint64_t& revision = node.revisions[document->key];
  if (object.revision < revision)
    return;
  revision = object.revision;
  node.stored_versions[document->key] = document->version;
  Accept(node.replica, *document, turn.now);
}

void TakeList(Turn& turn, const std::string& kind, const StoreReply& reply) {
  ControlNode& node = turn.node;
  if (reply.status != StoreStatus::kOk)
    return;
  for (const StoreObject& it : reply.objects) {
    if (kind == kStatusKind)
      TakeStatus(node, it, turn.now);
    else if (const auto document_kind = FromName<DocumentKind>(kind))
      TakeDocumentObject(turn, *document_kind, it);
  }
  node.unread.erase(kind);
  if (!node.unread.empty() || node.decided)
    return;
  node.decided = true;
  if (IsLeader(node, turn.now) && !IsWritePending(node))
    Decide(turn);
}

// A written document is taken over at once; after a conflict or a lost
// answer the next reading shows the truth.
void TakeWrite(Turn& turn, const StorePut& put, const StoreReply& reply) {
  const auto kind = FromName<DocumentKind>(put.kind);
  if (!kind || reply.status != StoreStatus::kOk)
    return;
  for (const StoreObject& it : reply.objects) {
    TakeDocumentObject(turn, *kind, it);
    const Replica::Entry* entry =
        Find(turn.node.replica, DocumentKey{*kind, it.name});
    if (entry && !turn.node.entry.empty())
      turn.actions.push_back(
          Envelope{turn.node.entry, DocumentBatch{{entry->document}}});
  }
}

void TakeAnswer(Turn& turn, const StoreAnswer& answer) {
  ControlNode& node = turn.node;
  const auto it = node.calls.find(answer.id);
  if (it == node.calls.end())
    return;  // Given up before.
  const ControlNode::PendingCall pending = it->second;
  node.calls.erase(it);
  if (std::get_if<StoreGet>(&pending.call)) {
    TakeLease(turn, answer.reply);
  } else if (const auto* list = std::get_if<StoreList>(&pending.call)) {
    TakeList(turn, list->kind, answer.reply);
  } else if (const auto* put = std::get_if<StorePut>(&pending.call)) {
    if (put->kind == kLeaseKind)
      TakeLeaseWrite(turn, pending.sent, answer.reply);
    else
      TakeWrite(turn, *put, answer.reply);
  }
}

// ---- The entry process beside this one ----

void TakeBeat(Turn& turn, const HostId& from, const Heartbeat& beat) {
  ControlNode& node = turn.node;
  node.entry_heard = turn.now;
  node.is_relay = beat.relay && !beat.leaving;
  for (const ZoneMembership& it : beat.zones)
    node.zone_beats[it.zone] = {turn.now, it};
  if (beat.digest != node.replica.digest) {
    turn.actions.push_back(
        Envelope{from, DocumentSummary{Summarize(node.replica)}});
  }
}

void TakeMessage(Turn& turn, const PeerMessage& message) {
  ControlNode& node = turn.node;
  if (message.from != node.entry)
    return;
  if (const auto* beat = std::get_if<Heartbeat>(&message.message)) {
    TakeBeat(turn, message.from, *beat);
  } else if (const auto* batch = std::get_if<DocumentBatch>(&message.message)) {
    for (const Document& it : batch->documents)
      Accept(node.replica, it, turn.now);
  } else if (const auto* summary =
                 std::get_if<DocumentSummary>(&message.message)) {
    std::vector<Document> newer = NewerThan(node.replica, summary->versions);
    if (!newer.empty()) {
      turn.actions.push_back(
          Envelope{message.from, DocumentBatch{std::move(newer)}});
    }
  }
}

void Tick(Turn& turn) {
  ControlNode& node = turn.node;
  GiveUpCalls(node, turn.now);
  TickLease(turn);
  if (IsLeader(node, turn.now) && turn.now >= node.next_read)
    ReadStore(turn);
  node.next_tick = turn.now + node.limits.tick;
  turn.actions.push_back(SetTimer{node.next_tick});
}

}  // namespace

void Log(Turn& turn, std::string text) {
  turn.actions.push_back(LogEvent{"control", std::move(text)});
}

void CallStore(Turn& turn, std::variant<StoreGet, StoreList, StorePut> call) {
  const uint64_t id = ++turn.node.next_call;
  turn.node.calls[id] = {call, turn.now};
  turn.actions.push_back(StoreCall{id, std::move(call)});
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
  control_parts::Turn turn{node, now, {}};
  if (const auto* message = std::get_if<PeerMessage>(&event))
    control_parts::TakeMessage(turn, *message);
  else if (const auto* answer = std::get_if<StoreAnswer>(&event))
    control_parts::TakeAnswer(turn, *answer);
  else if (std::get_if<TimerFired>(&event))
    control_parts::Tick(turn);
  return std::move(turn.actions);
}

bool IsLeader(const ControlNode& node, Time now) {
  return HoldsLease(node.lease, node.self.id, node.limits.lease, now);
}

}  // namespace sassafras
