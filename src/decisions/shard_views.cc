#include "decisions/shard_views.h"

#include <algorithm>
#include <charconv>

#include "base/hash.h"
#include "decisions/rendezvous.h"

namespace sassafras {

namespace {

constexpr int kMaxMovesAtOnce = 8;

bool IsLive(const ViewChangeInput& input, const HostId& host) {
  return std::any_of(input.live.begin(), input.live.end(),
                     [&](const Host& it) { return it.id == host; });
}

// Whether the host still answers: live, or stopping and therefore still a
// holder of its records but not eligible for more.
bool Answers(const ViewChangeInput& input, const HostId& host) {
  return IsLive(input, host) || input.leaving.count(host) > 0;
}

ZoneId ZoneOf(const ViewChangeInput& input, const HostId& host) {
  for (const Host& it : input.live) {
    if (it.id == host)
      return it.zone;
  }
  return ZoneId();
}

std::string ShardTopic(const RegionId& region, int shard) {
  return "shard/" + region.value() + "/" + std::to_string(shard);
}

// The live host other than `other` with the highest rendezvous score for the
// shard, from another zone than `other` if possible.
HostId PickHolder(const ViewChangeInput& input,
                  const RegionId& region,
                  int shard,
                  const HostId& other) {
  const ZoneId other_zone = ZoneOf(input, other);
  std::vector<HostId> in_other_zones;
  std::vector<HostId> in_same_zone;
  for (const Host& it : input.live) {
    if (it.id == other)
      continue;
    if (it.zone != other_zone)
      in_other_zones.push_back(it.id);
    else
      in_same_zone.push_back(it.id);
  }
  const std::string topic = ShardTopic(region, shard);
  return TopHost(in_other_zones.empty() ? in_same_zone : in_other_zones, topic);
}

// Starts a new generation with new holders after the shard's records are lost.
// Keys of older generations are never run again.
ShardView ResetShard(const ShardView& view,
                     const ViewChangeInput& input,
                     const RegionId& region,
                     int shard) {
  ShardView next;
  next.number = view.number.Next();
  next.generation = view.generation.Next();
  next.primary = PickHolder(input, region, shard, HostId());
  next.backup = PickHolder(input, region, shard, next.primary);
  next.backup_synced = !next.backup.empty();
  return next;
}

ShardView WithHolders(const ShardView& view, HostId primary, HostId backup) {
  ShardView next = view;
  next.number = view.number.Next();
  next.primary = std::move(primary);
  next.backup = std::move(backup);
  next.backup_synced = false;
  return next;
}

bool IsReportedSynced(const ViewChangeInput& input,
                      int shard,
                      const ShardView& view) {
  const auto it = input.synced.find(shard);
  return it != input.synced.end() && it->second == view.number;
}

ShardView NextView(const ShardView& view,
                   const ViewChangeInput& input,
                   const RegionId& region,
                   int shard) {
  const bool primary_answers = Answers(input, view.primary);
  const bool backup_answers = Answers(input, view.backup);
  const bool synced =
      view.backup_synced || IsReportedSynced(input, shard, view);
  if (!primary_answers) {
    if (!backup_answers || !synced)
      return ResetShard(view, input, region, shard);
    return WithHolders(view, view.backup,
                       PickHolder(input, region, shard, view.backup));
  }
  if (!backup_answers) {
    const HostId backup = PickHolder(input, region, shard, view.primary);
    if (backup.empty() && view.backup.empty())
      return view;
    return WithHolders(view, view.primary, backup);
  }
  if (!IsLive(input, view.primary) && synced) {
    const HostId backup = PickHolder(input, region, shard, view.backup);
    if (!backup.empty())
      return WithHolders(view, view.backup, backup);
  }
  if (!IsLive(input, view.backup) && IsLive(input, view.primary)) {
    const HostId backup = PickHolder(input, region, shard, view.primary);
    if (!backup.empty())
      return WithHolders(view, view.primary, backup);
  }
  ShardView next = view;
  next.backup_synced = synced;
  return next;
}

// Holders of the shard by rendezvous hashing over all live hosts.
ShardView IdealView(const ViewChangeInput& input,
                    const RegionId& region,
                    int shard) {
  ShardView ideal;
  ideal.primary = PickHolder(input, region, shard, HostId());
  ideal.backup = PickHolder(input, region, shard, ideal.primary);
  return ideal;
}

// Moves a shard one step towards its ideal holders: the ideal primary first
// becomes the backup, and the primary once it holds all records.
ShardView StepToIdeal(const ShardView& view,
                      const ViewChangeInput& input,
                      const RegionId& region,
                      int shard) {
  const ShardView ideal = IdealView(input, region, shard);
  if (ideal.backup.empty() || !view.backup_synced)
    return view;
  if (view.primary == ideal.primary) {
    return view.backup == ideal.backup
               ? view
               : WithHolders(view, view.primary, ideal.backup);
  }
  if (view.backup == ideal.primary) {
    const bool swap = view.primary == ideal.backup;
    ShardView next = WithHolders(view, view.backup, ideal.backup);
    // The old primary holds every record.
    next.backup_synced = swap;
    return next;
  }
  return WithHolders(view, view.primary, ideal.primary);
}

// Moves a few shards at a time, and none while the backup of any shard is not
// synced: while a shard moves, only one host has all of its records.
bool MoveTowardsIdeal(RegionViews& views, const ViewChangeInput& input) {
  const bool settled =
      std::all_of(views.shards.begin(), views.shards.end(),
                  [](const ShardView& it) { return it.backup_synced; });
  if (!settled)
    return false;
  int moved = 0;
  for (int shard = 0; shard < kShardsPerRegion; ++shard) {
    ShardView& view = views.shards[static_cast<size_t>(shard)];
    const ShardView next = StepToIdeal(view, input, views.region, shard);
    if (next.number == view.number)
      continue;
    view = next;
    if (++moved == kMaxMovesAtOnce)
      break;
  }
  return moved > 0;
}

bool SameView(const ShardView& a, const ShardView& b) {
  return a.number == b.number && a.backup_synced == b.backup_synced;
}

template <typename Int>
std::optional<Int> ParseNumber(std::string_view text, int base) {
  Int n = 0;
  const auto [end, ec] =
      std::from_chars(text.data(), text.data() + text.size(), n, base);
  if (ec != std::errc() || end != text.data() + text.size())
    return std::nullopt;
  return n;
}

std::optional<KeyHome> ParsePrefix(std::string_view key,
                                   const std::vector<RegionId>& regions) {
  const size_t first = key.find('.');
  if (first == std::string_view::npos)
    return std::nullopt;
  const size_t second = key.find('.', first + 1);
  if (second == std::string_view::npos)
    return std::nullopt;
  const size_t third = key.find('.', second + 1);
  if (third == std::string_view::npos)
    return std::nullopt;
  const RegionId region{std::string(key.substr(0, first))};
  if (std::find(regions.begin(), regions.end(), region) == regions.end())
    return std::nullopt;
  constexpr int kHex = 16;
  const auto shard =
      ParseNumber<int>(key.substr(first + 1, second - first - 1), kHex);
  const auto minted =
      ParseNumber<uint64_t>(key.substr(second + 1, third - second - 1), kHex);
  if (!shard || !minted || *shard < 0 || *shard >= kShardsPerRegion)
    return std::nullopt;
  return KeyHome{region, *shard, Generation(*minted)};
}

std::string ToHex(uint64_t n) {
  constexpr int kHex = 16;
  char buf[17];
  const auto [end, ec] = std::to_chars(buf, buf + sizeof(buf), n, kHex);
  return std::string(buf, end);
}

}  // namespace

std::string KeyPrefix(const RegionId& region,
                      int shard,
                      Generation generation) {
  return region.value() + "." + ToHex(static_cast<uint64_t>(shard)) + "." +
         ToHex(generation.value()) + ".";
}

KeyHome HomeOfKey(const RequestKey& key, const std::vector<RegionId>& regions) {
  if (const auto home = ParsePrefix(key.value(), regions))
    return *home;
  const uint64_t hash = HashText(key.value());
  KeyHome home;
  home.shard = static_cast<int>(hash % kShardsPerRegion);
  home.region = regions[(hash / kShardsPerRegion) % regions.size()];
  return home;
}

std::optional<RegionViews> ChangeViews(const RegionViews& views,
                                       const ViewChangeInput& input) {
  if (input.live.empty())
    return std::nullopt;
  RegionViews next = views;
  next.shards.resize(kShardsPerRegion);
  bool changed = false;
  for (int shard = 0; shard < kShardsPerRegion; ++shard) {
    ShardView& view = next.shards[static_cast<size_t>(shard)];
    const ShardView wanted = NextView(view, input, views.region, shard);
    changed = changed || !SameView(view, wanted);
    view = wanted;
  }
  if (!changed)
    changed = MoveTowardsIdeal(next, input);
  if (!changed)
    return std::nullopt;
  next.version = views.version.Next();
  return next;
}

}  // namespace sassafras
