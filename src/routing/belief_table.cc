#include "routing/belief_table.h"

#include <algorithm>
#include <set>
#include <utility>

namespace sassafras {

namespace {

void Log(BeliefTable& table, const BeliefItem& item) {
  table.log.push_back(item);
  ++table.sequence;
  while (table.log.size() > kMostLogged)
    table.log.pop_front();
}

// Takes one object; false if it says nothing new.
bool ApplyItem(BeliefKind& kind, const BeliefItem& item) {
  const auto it = kind.objects.find(item.name);
  if (item.removed) {
    // A relay that lags may report a removal before the object came back.
    if (it == kind.objects.end() || item.revision < it->second.revision)
      return false;
    kind.objects.erase(it);
    return true;
  }
  if (it != kind.objects.end() && it->second.revision >= item.revision)
    return false;
  kind.objects[item.name] = item;
  return true;
}

// Takes the whole list of a kind.
std::vector<BeliefItem> ApplyWhole(BeliefKind& kind,
                                   const std::vector<BeliefItem>& items,
                                   const std::string& name,
                                   uint64_t as_of) {
  std::vector<BeliefItem> news;
  std::set<std::string> listed;
  for (const BeliefItem& it : items) {
    listed.insert(it.name);
    if (ApplyItem(kind, it))
      news.push_back(it);
  }
  std::vector<BeliefItem> removed;
  for (const auto& [object, it] : kind.objects) {
    if (listed.count(object) == 0)
      removed.push_back({name, object, as_of, true, ""});
  }
  for (const BeliefItem& it : removed) {
    kind.objects.erase(it.name);
    news.push_back(it);
  }
  return news;
}

// A removal bears the revision at which it is known.
BeliefItem ItemOf(const std::string& kind,
                  const StoreObject& object,
                  uint64_t as_of) {
  const bool removed = object.revision == 0;
  return {kind, object.name, removed ? as_of : object.revision, removed,
          removed ? "" : object.value};
}

std::vector<BeliefItem> ApplyPart(BeliefTable& table, const BeliefPush& push) {
  std::vector<BeliefItem> news;
  for (const BeliefItem& it : push.items) {
    const auto kind = table.kinds.find(it.kind);
    if (kind != table.kinds.end() && ApplyItem(kind->second, it))
      news.push_back(it);
  }
  return news;
}

std::vector<BeliefItem> ApplyAll(BeliefTable& table, const BeliefPush& push) {
  std::map<std::string, std::vector<BeliefItem>> by_kind;
  for (const BeliefItem& it : push.items)
    by_kind[it.kind].push_back(it);
  std::vector<BeliefItem> news;
  for (const BeliefPosition& position : push.positions) {
    const auto kind = table.kinds.find(position.kind);
    // A relay that lags behind must not take anything back.
    if (kind == table.kinds.end() || position.as_of < kind->second.as_of)
      continue;
    for (BeliefItem& it : ApplyWhole(kind->second, by_kind[position.kind],
                                     position.kind, position.as_of))
      news.push_back(std::move(it));
  }
  return news;
}

void Advance(BeliefTable& table, const BeliefPush& push) {
  for (const BeliefPosition& it : push.positions) {
    const auto kind = table.kinds.find(it.kind);
    if (kind != table.kinds.end())
      kind->second.as_of = std::max(kind->second.as_of, it.as_of);
  }
}

}  // namespace

BeliefTable MakeBeliefTable(const std::vector<std::string>& kinds,
                            uint64_t epoch) {
  BeliefTable table;
  table.epoch = epoch;
  for (const std::string& it : kinds)
    table.kinds[it];
  return table;
}

bool IsComplete(const BeliefTable& table) {
  return std::all_of(table.kinds.begin(), table.kinds.end(),
                     [](const auto& it) { return it.second.as_of > 0; });
}

std::vector<BeliefItem> ApplyStoreChange(BeliefTable& table,
                                         const std::string& kind,
                                         const StoreChange& change) {
  BeliefKind& known = table.kinds[kind];
  std::vector<BeliefItem> items;
  for (const StoreObject& it : change.objects)
    items.push_back(ItemOf(kind, it, change.as_of));
  std::vector<BeliefItem> news;
  if (change.complete) {
    // A replica's list may be older than what is known already.
    if (change.as_of >= known.as_of)
      news = ApplyWhole(known, items, kind, change.as_of);
  } else {
    for (const BeliefItem& it : items) {
      if (ApplyItem(known, it))
        news.push_back(it);
    }
  }
  known.as_of = std::max(known.as_of, change.as_of);
  for (const BeliefItem& it : news)
    Log(table, it);
  return news;
}

std::vector<BeliefItem> ApplyPush(BeliefTable& table, const BeliefPush& push) {
  std::vector<BeliefItem> news =
      push.complete ? ApplyAll(table, push) : ApplyPart(table, push);
  Advance(table, push);
  for (const BeliefItem& it : news)
    Log(table, it);
  return news;
}

BeliefPush MakePush(const BeliefTable& table,
                    uint64_t epoch,
                    uint64_t sequence,
                    Duration doubt) {
  BeliefPush push;
  push.epoch = table.epoch;
  push.sequence = table.sequence;
  push.from = sequence;
  push.doubt_ms = static_cast<uint64_t>(std::max<int64_t>(Millis(doubt), 0));
  for (const auto& [name, kind] : table.kinds)
    push.positions.push_back({name, kind.as_of});
  const uint64_t first = table.sequence - table.log.size();
  if (epoch == table.epoch && sequence >= first && sequence <= table.sequence) {
    const auto skip = static_cast<ptrdiff_t>(sequence - first);
    push.items.assign(table.log.begin() + skip, table.log.end());
    return push;
  }
  push.complete = true;
  for (const auto& [name, kind] : table.kinds) {
    for (const auto& [object, item] : kind.objects)
      push.items.push_back(item);
  }
  return push;
}

BeliefPush OnFollow(BeliefFollowers& followers,
                    const BeliefTable& table,
                    const HostId& from,
                    const BeliefFollow& follow,
                    Duration doubt,
                    Time now) {
  const auto [entry, is_new] = followers.try_emplace(from);
  BeliefFollower& it = entry->second;
  it.heard = now;
  // Another epoch at the same host is another start of it.
  const bool has_moved = is_new || follow.epoch != it.acked.epoch ||
                         follow.sequence != it.acked.sequence;
  const bool is_lost = follow.epoch != table.epoch;
  const bool is_stuck = !has_moved && now - it.progressed >= kPushRepeat;
  it.acked = follow;
  uint64_t from_sequence = it.sent;
  if (has_moved || is_stuck)
    it.progressed = now;
  if (is_stuck || (is_lost && has_moved))
    from_sequence = follow.sequence;
  const uint64_t epoch =
      is_lost && (has_moved || is_stuck) ? follow.epoch : table.epoch;
  it.sent = table.sequence;
  return MakePush(table, epoch, from_sequence, doubt);
}

bool HasFollowers(const BeliefFollowers& followers, Time now) {
  return std::any_of(followers.begin(), followers.end(), [&](const auto& it) {
    return now - it.second.heard < kFollowerSilence;
  });
}

std::vector<AddressedPush> PushToAll(BeliefFollowers& followers,
                                     const BeliefTable& table,
                                     Duration doubt,
                                     Time now) {
  std::vector<AddressedPush> out;
  for (auto it = followers.begin(); it != followers.end();) {
    BeliefFollower& follower = it->second;
    if (now - follower.heard > kFollowerSilence) {
      it = followers.erase(it);
      continue;
    }
    out.push_back(
        {it->first, MakePush(table, table.epoch, follower.sent, doubt)});
    follower.sent = table.sequence;
    ++it;
  }
  return out;
}

}  // namespace sassafras
