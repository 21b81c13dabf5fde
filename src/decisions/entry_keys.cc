#include <utility>

#include "decisions/entry_parts.h"

namespace sassafras::entry_parts {

namespace {

bool IsOwnerAlive(const EntryNode& node,
                  const HostId& owner,
                  ExchangeId exchange,
                  Time now) {
  const uint64_t incarnation = IncarnationOf(exchange);
  if (owner == node.self.id)
    return incarnation == node.membership.incarnation;
  if (StateOf(node.membership, owner, now) == HostState::kDead)
    return false;
  const auto it = node.membership.contacts.find(owner);
  // Without recent direct contact the incarnation is not known. The host is
  // not dead, so its exchange counts as alive.
  if (it == node.membership.contacts.end() ||
      now - it->second.heard > node.membership.limits.host_timeout) {
    return true;
  }
  return it->second.incarnation == incarnation;
}

}  // namespace

LedgerContext KeyContext(const EventRun& run) {
  const EntryNode& node = run.node;
  const Time now = run.now;
  LedgerContext ctx;
  ctx.now = now;
  ctx.self = node.self.id;
  const auto it = node.views.find(node.self.region);
  ctx.views = it == node.views.end() ? nullptr : &it->second;
  ctx.is_answering = [&node, now](const HostId& host) {
    return StateOf(node.membership, host, now) != HostState::kDead;
  };
  ctx.is_owner_alive = [&node, now](const HostId& owner, ExchangeId exchange) {
    return IsOwnerAlive(node, owner, exchange, now);
  };
  ctx.hears_majority =
      HearsMajorityOfRegion(node.membership, node.self.region, now);
  return ctx;
}

void HandleLedgerMessage(EventRun& run,
                         const HostId& from,
                         const Message& message) {
  Ledger& ledger = run.node.ledger;
  const LedgerContext ctx = KeyContext(run);
  if (const auto* it = std::get_if<KeyBegin>(&message))
    SendAll(run, OnKeyBegin(ledger, ctx, from, *it));
  else if (const auto* it = std::get_if<KeyComplete>(&message))
    SendAll(run, OnKeyComplete(ledger, ctx, from, *it));
  else if (const auto* it = std::get_if<KeyReplicate>(&message))
    SendAll(run, OnKeyReplicate(ledger, ctx, from, *it));
  else if (const auto* it = std::get_if<KeyReplicated>(&message))
    SendAll(run, OnKeyReplicated(ledger, ctx, from, *it));
}

void KeysTick(EventRun& run) {
  SendAll(run, OnLedgerTick(run.node.ledger, KeyContext(run)));
}

}  // namespace sassafras::entry_parts
