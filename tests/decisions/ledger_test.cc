// Tests of the ledgers of a primary and a backup that need an exact order of
// messages.

#include "decisions/ledger.h"

#include <gtest/gtest.h>

namespace sassafras {
namespace {

const HostId kHostP("p");
const HostId kHostB("b");
const HostId kEntryE("e");
const HostId kEntryF("f");
const RegionId kRegion("r");
const RequestKey kKey("key");

class LedgerTest : public ::testing::Test {
 protected:
  LedgerTest() {
    views_.region = kRegion;
    views_.shards.resize(kShardsPerRegion);
    ledger_p_.region = kRegion;
    ledger_b_.region = kRegion;
  }

  void SetView(uint64_t number, const HostId& primary, const HostId& backup) {
    ShardView& view = views_.shards[0];
    view.number = ViewNumber(number);
    view.generation = Generation(1);
    view.primary = primary;
    view.backup = backup;
    view.backup_synced = true;
    OnViewsChanged(ledger_p_, Context(kHostP));
    OnViewsChanged(ledger_b_, Context(kHostB));
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
  static const T* FindLast(const std::vector<Envelope>& out) {
    const T* found = nullptr;
    for (const Envelope& it : out) {
      if (const T* message = std::get_if<T>(&it.message))
        found = message;
    }
    return found;
  }

  Time now_{std::chrono::hours(1)};
  RegionViews views_;
  Ledger ledger_p_;
  Ledger ledger_b_;
};

TEST_F(LedgerTest, GrantNeedsTheBackupsAcknowledgement) {
  SetView(1, kHostP, kHostB);
  const auto begun = OnKeyBegin(ledger_p_, Context(kHostP), kEntryE, Begin(1));
  EXPECT_EQ(FindLast<KeyGrant>(begun), nullptr);
  const auto* replicate = FindLast<KeyReplicate>(begun);
  ASSERT_NE(replicate, nullptr);
  const auto stored =
      OnKeyReplicate(ledger_b_, Context(kHostB), kHostP, *replicate);
  const auto* reply = FindLast<KeyReplicated>(stored);
  ASSERT_NE(reply, nullptr);
  const auto granted =
      OnKeyReplicated(ledger_p_, Context(kHostP), kHostB, *reply);
  ASSERT_NE(FindLast<KeyGrant>(granted), nullptr);
}

// Primary and backup change roles twice. The record that the first primary
// created but never got acknowledged must be replaced by the record for which
// the second primary granted a dispatch. Otherwise the first primary would
// grant the same key again after the second change.
TEST_F(LedgerTest, SwappedHoldersKeepTheNewPrimarysRecord) {
  SetView(1, kHostP, kHostB);
  // The resulting KeyReplicate message is lost.
  OnKeyBegin(ledger_p_, Context(kHostP), kEntryE, Begin(1));
  SetView(2, kHostB, kHostP);
  const auto begun = OnKeyBegin(ledger_b_, Context(kHostB), kEntryF, Begin(2));
  const auto* replicate = FindLast<KeyReplicate>(begun);
  ASSERT_NE(replicate, nullptr);
  const auto stored =
      OnKeyReplicate(ledger_p_, Context(kHostP), kHostB, *replicate);
  const auto granted = OnKeyReplicated(ledger_b_, Context(kHostB), kHostP,
                                       *FindLast<KeyReplicated>(stored));
  ASSERT_NE(FindLast<KeyGrant>(granted), nullptr);  // F may run the request.
  SetView(3, kHostP, kHostB);
  auto again = OnKeyBegin(ledger_p_, Context(kHostP), kEntryE, Begin(1));
  if (const auto* more = FindLast<KeyReplicate>(again)) {
    const auto held = OnKeyReplicate(ledger_b_, Context(kHostB), kHostP, *more);
    again = OnKeyReplicated(ledger_p_, Context(kHostP), kHostB,
                            *FindLast<KeyReplicated>(held));
  }
  for (const Envelope& it : again)
    EXPECT_FALSE(it.to == kEntryE &&
                 std::holds_alternative<KeyGrant>(it.message));
}

TEST_F(LedgerTest, RecordsAreDroppedOnlyAfterRetention) {
  SetView(1, kHostP, kHostB);
  const auto begun = OnKeyBegin(ledger_p_, Context(kHostP), kEntryE, Begin(1));
  const auto stored = OnKeyReplicate(ledger_b_, Context(kHostB), kHostP,
                                     *FindLast<KeyReplicate>(begun));
  OnKeyReplicated(ledger_p_, Context(kHostP), kHostB,
                  *FindLast<KeyReplicated>(stored));
  now_ += ledger_p_.limits.retention - std::chrono::seconds(1);
  OnLedgerTick(ledger_p_, Context(kHostP));
  EXPECT_EQ(ledger_p_.record_count, 1U);
  now_ += std::chrono::seconds(2);
  OnLedgerTick(ledger_p_, Context(kHostP));
  EXPECT_EQ(ledger_p_.record_count, 0U);
}

}  // namespace
}  // namespace sassafras
