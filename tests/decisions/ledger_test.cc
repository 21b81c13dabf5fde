// Holders of key records: cases between two of them that need exact steps.

#include "decisions/ledger.h"

#include <gtest/gtest.h>

namespace sassafras {
namespace {

const HostId kP("p");
const HostId kB("b");
const HostId kE("e");
const HostId kF("f");
const RegionId kRegion("r");
const RequestKey kKey("key");

class LedgerTest : public ::testing::Test {
 protected:
  LedgerTest() {
    views_.region = kRegion;
    views_.shards.resize(kShardsPerRegion);
    p_.region = kRegion;
    b_.region = kRegion;
  }

  void SetView(uint64_t number, const HostId& primary, const HostId& backup) {
    ShardView& view = views_.shards[0];
    view.number = ViewNumber(number);
    view.generation = Generation(1);
    view.primary = primary;
    view.backup = backup;
    view.backup_synced = true;
    OnViewsChanged(p_, Context(kP));
    OnViewsChanged(b_, Context(kB));
  }

  LedgerContext Context(const HostId& self) {
    LedgerContext ctx;
    ctx.now = now_;
    ctx.self = self;
    ctx.views = &views_;
    ctx.is_answering = [](const HostId&) { return true; };
    ctx.is_owner_alive = [](const HostId&, ExchangeId) { return true; };
    ctx.hears_majority = true;
    return ctx;
  }

  KeyBegin Begin(uint64_t exchange) {
    KeyBegin begin;
    begin.exchange = ExchangeId(exchange);
    begin.home = {kRegion, 0, Generation(1)};
    begin.key = kKey;
    begin.body = Fingerprint(1);
    return begin;
  }

  template <typename T>
  static const T* Only(const std::vector<Envelope>& out) {
    const T* found = nullptr;
    for (const Envelope& it : out) {
      if (const T* message = std::get_if<T>(&it.message))
        found = message;
    }
    return found;
  }

  Time now_{std::chrono::hours(1)};
  RegionViews views_;
  Ledger p_;
  Ledger b_;
};

TEST_F(LedgerTest, GoNeedsTheBackup) {
  SetView(1, kP, kB);
  const auto begun = OnKeyBegin(p_, Context(kP), kE, Begin(1));
  EXPECT_EQ(Only<KeyGo>(begun), nullptr);
  const auto* replicate = Only<KeyReplicate>(begun);
  ASSERT_NE(replicate, nullptr);
  const auto stored = OnKeyReplicate(b_, Context(kB), kP, *replicate);
  const auto* reply = Only<KeyReplicated>(stored);
  ASSERT_NE(reply, nullptr);
  const auto granted = OnKeyReplicated(p_, Context(kP), kB, *reply);
  ASSERT_NE(Only<KeyGo>(granted), nullptr);
}

// A record that the old primary never got acknowledged must not outlive the
// one that the new primary granted.
TEST_F(LedgerTest, SwappedHoldersKeepTheNewPrimarysRecord) {
  SetView(1, kP, kB);
  OnKeyBegin(p_, Context(kP), kE, Begin(1));  // Replication is lost.
  SetView(2, kB, kP);
  const auto begun = OnKeyBegin(b_, Context(kB), kF, Begin(2));
  const auto* replicate = Only<KeyReplicate>(begun);
  ASSERT_NE(replicate, nullptr);
  const auto stored = OnKeyReplicate(p_, Context(kP), kB, *replicate);
  const auto granted =
      OnKeyReplicated(b_, Context(kB), kP, *Only<KeyReplicated>(stored));
  ASSERT_NE(Only<KeyGo>(granted), nullptr);  // F runs the request.
  SetView(3, kP, kB);
  auto again = OnKeyBegin(p_, Context(kP), kE, Begin(1));
  if (const auto* more = Only<KeyReplicate>(again)) {
    const auto held = OnKeyReplicate(b_, Context(kB), kP, *more);
    again = OnKeyReplicated(p_, Context(kP), kB, *Only<KeyReplicated>(held));
  }
  for (const Envelope& it : again)
    EXPECT_FALSE(it.to == kE && std::holds_alternative<KeyGo>(it.message));
}

TEST_F(LedgerTest, RetentionDropsRecordsAndNotBefore) {
  SetView(1, kP, kB);
  const auto begun = OnKeyBegin(p_, Context(kP), kE, Begin(1));
  const auto stored =
      OnKeyReplicate(b_, Context(kB), kP, *Only<KeyReplicate>(begun));
  OnKeyReplicated(p_, Context(kP), kB, *Only<KeyReplicated>(stored));
  now_ += p_.limits.retention - std::chrono::seconds(1);
  OnLedgerTick(p_, Context(kP));
  EXPECT_EQ(p_.record_count, 1U);
  now_ += std::chrono::seconds(2);
  OnLedgerTick(p_, Context(kP));
  EXPECT_EQ(p_.record_count, 0U);
}

}  // namespace
}  // namespace sassafras
