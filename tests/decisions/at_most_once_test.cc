// Fault histories 1 to 11: a request with a key runs at most once, and callers
// are told correctly whether it ran. A history is a fixed order of lost or
// delayed messages, frozen or killed hosts, and store outages.

#include <gtest/gtest.h>

#include "decisions/fake_world.h"

namespace sassafras {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr char kRegion[] = "cuyo";

// A simulated deployment and a key whose primary and backup are known.
class AtMostOnceTest : public ::testing::Test {
 protected:
  AtMostOnceTest() : world_(WorldConfig{}) {
    world_.StartAndWaitUntilServing();
    shard_ = 7;
    key_ = MintKey(shard_, "order-1");
  }
  ~AtMostOnceTest() override {
    for (const std::string& it : world_.violations)
      ADD_FAILURE() << it;
  }

  std::string MintKey(int shard, const std::string& tail) {
    const Generation generation = world_.View(kRegion, shard).generation;
    return KeyPrefix(RegionId(kRegion), shard, generation) + tail;
  }
  HostId primary() { return world_.View(kRegion, shard_).primary; }
  HostId backup() { return world_.View(kRegion, shard_).backup; }

  // Hosts of the region that hold no part of the shard.
  std::vector<HostId> Others() {
    std::vector<HostId> out;
    for (const HostId& it : world_.HostsOfRegion(kRegion)) {
      if (it != primary() && it != backup())
        out.push_back(it);
    }
    return out;
  }

  size_t Charge(const HostId& entry, Duration timeout = seconds(5)) {
    CallSpec spec;
    spec.key = key_;
    spec.timeout = timeout;
    return world_.Call(entry, spec);
  }

  World world_;
  int shard_ = 0;
  std::string key_;
};

TEST_F(AtMostOnceTest, ChargeRunsOnceAndRepetitionGetsTheAnswer) {
  const auto others = Others();
  const size_t first = Charge(others[0]);
  world_.Run(seconds(1));
  ASSERT_EQ(world_.call(first).state, CallRecord::State::kAnswered);
  const size_t again = Charge(others[1]);
  world_.Run(seconds(1));
  ASSERT_EQ(world_.call(again).state, CallRecord::State::kAnswered);
  EXPECT_TRUE(world_.call(again).from_record);
  EXPECT_EQ(world_.RunsOfKey(key_), 1);
}

// History 1.
TEST_F(AtMostOnceTest, LostGrantIsWithdrawnBeforeAnotherHostRunsTheKey) {
  const HostId e = Others()[0];
  const HostId f = Others()[1];
  world_.drop = [&](const HostId&, const Envelope& it) {
    return it.to == e && std::holds_alternative<KeyGrant>(it.message);
  };
  const size_t first = Charge(e, seconds(1));
  world_.Run(milliseconds(300));
  const size_t second = Charge(f, seconds(4));
  world_.Run(seconds(5));
  ASSERT_EQ(world_.call(first).state, CallRecord::State::kRefused);
  EXPECT_EQ(world_.call(second).state, CallRecord::State::kAnswered);
  EXPECT_EQ(world_.RunsOfKey(key_), 1);
}

// History 2.
TEST_F(AtMostOnceTest, LateGrantIsDropped) {
  const HostId e = Others()[0];
  std::vector<Envelope> kept;
  world_.drop = [&](const HostId&, const Envelope& it) {
    const bool is_go =
        it.to == e && std::holds_alternative<KeyGrant>(it.message);
    if (is_go)
      kept.push_back(it);
    return is_go;
  };
  const size_t first = Charge(e, seconds(1));
  world_.Run(seconds(3));
  ASSERT_EQ(world_.call(first).state, CallRecord::State::kRefused);
  ASSERT_FALSE(kept.empty());
  const auto actions =
      Handle(world_.entry(e), PeerMessage{primary(), kept.front().message},
             world_.now());
  for (const EntryAction& it : actions)
    EXPECT_FALSE(std::holds_alternative<Dispatch>(it));
  EXPECT_EQ(world_.RunsOfKey(key_), 0);
}

// History 3.
TEST_F(AtMostOnceTest, KeyGrantedToFrozenEntryRunsAtMostOnce) {
  const HostId e = Others()[0];
  const HostId f = Others()[1];
  bool frozen = false;
  world_.drop = [&](const HostId&, const Envelope& it) {
    if (!frozen && it.to == e && std::holds_alternative<KeyGrant>(it.message)) {
      frozen = true;
      // The grant stays in the frozen host's socket until it wakes.
      world_.Freeze(e);
    }
    return false;
  };
  const size_t first = Charge(e, seconds(120));
  world_.Run(seconds(1));
  ASSERT_TRUE(frozen);
  const size_t second = Charge(f, seconds(20));
  world_.Run(seconds(30));
  ASSERT_EQ(world_.call(second).state, CallRecord::State::kRefused);
  EXPECT_EQ(world_.call(second).problem.ran, Ran::kUnknown);
  world_.Run(seconds(30));
  world_.Wake(e);
  world_.Run(seconds(20));
  const size_t third = Charge(f, seconds(5));
  world_.Run(seconds(6));
  EXPECT_LE(world_.RunsOfKey(key_), 1);
  if (world_.call(first).state == CallRecord::State::kAnswered) {
    EXPECT_EQ(world_.call(third).state, CallRecord::State::kAnswered);
  }
}

// History 4.
TEST_F(AtMostOnceTest, BackupInNewerViewRefusesTheOldPrimary) {
  const HostId p = primary();
  const HostId b = backup();
  const HostId e = Others()[0];
  // The old primary never receives the newer view.
  world_.drop = [&](const HostId& from, const Envelope& it) {
    const bool is_document =
        std::holds_alternative<DocumentBatch>(it.message) ||
        std::holds_alternative<DocumentSummary>(it.message);
    return (it.to == p || from == p) && is_document;
  };
  world_.cut_from_store = [&](const HostId& host) { return host == p; };
  world_.Freeze(p);
  ASSERT_TRUE(world_.RunUntil(seconds(30), [&] { return primary() == b; }));
  world_.Run(seconds(5));
  world_.Wake(p);
  KeyBegin begin;
  begin.exchange = NewExchange(world_.entry(e));
  begin.home = HomeOfKey(RequestKey(key_), world_.topology().regions);
  begin.key = RequestKey(key_);
  begin.body = Fingerprint(1);
  bool granted = false;
  auto drop = world_.drop;
  world_.drop = [&](const HostId& from, const Envelope& it) {
    if (from == p && std::holds_alternative<KeyGrant>(it.message))
      granted = true;
    return drop(from, it);
  };
  bool replicated = false;
  for (const EntryAction& it :
       Handle(world_.entry(p), PeerMessage{e, begin}, world_.now())) {
    const auto* envelope = std::get_if<Envelope>(&it);
    if (!envelope || !std::holds_alternative<KeyReplicate>(envelope->message))
      continue;
    replicated = true;
    EXPECT_EQ(envelope->to, b);
    const auto answers = Handle(
        world_.entry(b), PeerMessage{p, envelope->message}, world_.now());
    for (const EntryAction& answer : answers) {
      const auto* back = std::get_if<Envelope>(&answer);
      if (!back)
        continue;
      const auto* reply = std::get_if<KeyReplicated>(&back->message);
      if (!reply)
        continue;
      EXPECT_TRUE(reply->refused);
      for (const EntryAction& last :
           Handle(world_.entry(p), PeerMessage{b, *reply}, world_.now())) {
        const auto* out = std::get_if<Envelope>(&last);
        EXPECT_FALSE(out && std::holds_alternative<KeyGrant>(out->message));
      }
    }
  }
  EXPECT_TRUE(replicated);
  world_.Run(seconds(5));
  EXPECT_FALSE(granted);
}

// History 6.
TEST_F(AtMostOnceTest, LossOfBothHoldersNeverRunsOldKeysAndMintsNewOnes) {
  const size_t open = Charge(Others()[0], seconds(20));
  world_.Run(milliseconds(12));
  const HostId p = primary();
  const HostId b = backup();
  const HostId e = Others()[0];
  const HostId f = Others()[1];
  world_.Kill(p);
  world_.Kill(b);
  const Time lost = world_.now();
  const auto minted = [&] {
    return world_.View(kRegion, shard_).generation > Generation(1) &&
           VersionOf(world_.entry(e).replica,
                     {DocumentKind::kViews, kRegion}) ==
               VersionOf(world_.entry(f).replica,
                         {DocumentKind::kViews, kRegion});
  };
  ASSERT_TRUE(world_.RunUntil(seconds(30), minted));
  EXPECT_LT(Seconds(world_.now() - lost), 15.0);
  world_.Run(seconds(3));
  const size_t again = Charge(f, seconds(5));
  key_ = MintKey(shard_, "order-2");
  const size_t fresh = Charge(f, seconds(5));
  world_.Run(seconds(25));
  EXPECT_FALSE(world_.IsOpen(open));
  ASSERT_EQ(world_.call(again).state, CallRecord::State::kRefused);
  EXPECT_EQ(world_.call(again).problem.ran, Ran::kUnknown);
  EXPECT_EQ(world_.call(fresh).state, CallRecord::State::kAnswered);
}

// History 7.
TEST_F(AtMostOnceTest,
       PrimaryKilledDuringStoreOutageKeepsRecordsAndHealthyShards) {
  const size_t done = Charge(Others()[0]);
  world_.Run(seconds(2));
  ASSERT_EQ(world_.call(done).state, CallRecord::State::kAnswered);
  const HostId e = Others()[1];
  const HostId p = primary();
  world_.store().down = true;
  world_.Kill(p);
  world_.Run(seconds(6));
  const size_t again = Charge(e);
  const std::string old_key = key_;
  key_ = MintKey(shard_, "order-2");
  const size_t fresh = Charge(e);
  // Look-ups mint new keys only for shards with two live holders.
  const LookupAnswer lookup = AnswerLookup(world_.entry(e), 0x0a010001);
  ASSERT_FALSE(lookup.key_prefix.empty());
  key_ = lookup.key_prefix + "order-3";
  const size_t healthy = Charge(e);
  world_.Run(seconds(6));
  EXPECT_EQ(world_.call(again).state, CallRecord::State::kAnswered);
  ASSERT_EQ(world_.call(fresh).state, CallRecord::State::kRefused);
  EXPECT_EQ(world_.call(fresh).problem.ran, Ran::kNo);
  EXPECT_EQ(world_.call(healthy).state, CallRecord::State::kAnswered);
  EXPECT_EQ(world_.RunsOfKey(old_key), 1);
}

// History 8.
TEST_F(AtMostOnceTest, BrokenAnswerIsUnknownAndNeverRunAgain) {
  for (auto& [id, endpoint] : world_.endpoints())
    endpoint.closes_early = true;
  const size_t first = Charge(Others()[0]);
  world_.Run(seconds(1));
  ASSERT_EQ(world_.call(first).state, CallRecord::State::kRefused);
  EXPECT_EQ(world_.call(first).problem.ran, Ran::kUnknown);
  for (auto& [id, endpoint] : world_.endpoints())
    endpoint.closes_early = false;
  const size_t again = Charge(Others()[1]);
  world_.Run(seconds(6));
  ASSERT_EQ(world_.call(again).state, CallRecord::State::kRefused);
  EXPECT_EQ(world_.call(again).problem.ran, Ran::kUnknown);
  EXPECT_EQ(world_.RunsOfKey(key_), 1);
}

TEST_F(AtMostOnceTest, RefusedConnectionIsRetriedOnAnotherEndpoint) {
  int dead = 0;
  for (auto& [id, endpoint] : world_.endpoints()) {
    endpoint.dead = ++dead % 3 == 0;
  }
  int answered = 0;
  for (int n = 0; n < 12; ++n) {
    key_ = MintKey(shard_, "many-" + std::to_string(n));
    const size_t call = Charge(Others()[0]);
    world_.Run(seconds(1));
    answered += world_.call(call).state == CallRecord::State::kAnswered;
  }
  EXPECT_EQ(answered, 12);
}

// History 9.
TEST_F(AtMostOnceTest, OtherBodyIsRefusedDuringAndAfterTheRun) {
  const size_t first = Charge(Others()[0]);
  world_.Run(milliseconds(15));
  CallSpec other;
  other.key = key_;
  other.body = 2;
  const size_t during = world_.Call(Others()[1], other);
  world_.Run(seconds(1));
  const size_t after = world_.Call(Others()[1], other);
  world_.Run(seconds(1));
  EXPECT_EQ(world_.call(first).state, CallRecord::State::kAnswered);
  for (const size_t n : {during, after}) {
    ASSERT_EQ(world_.call(n).state, CallRecord::State::kRefused);
    EXPECT_EQ(world_.call(n).problem.code, "body_differs");
  }
}

// History 10.
TEST_F(AtMostOnceTest, RepetitionsDuringTheRunGetTheSameAnswer) {
  world_.SetWork(milliseconds(400));
  const size_t first = Charge(Others()[0]);
  world_.Run(milliseconds(50));
  const size_t second = Charge(Others()[1]);
  const size_t third = Charge(Others()[2]);
  world_.Run(seconds(2));
  for (const size_t n : {first, second, third}) {
    EXPECT_EQ(world_.call(n).state, CallRecord::State::kAnswered);
    EXPECT_EQ(world_.call(n).answer, world_.call(first).answer);
  }
  EXPECT_EQ(world_.RunsOfKey(key_), 1);
}

TEST_F(AtMostOnceTest, RepetitionAfterDisconnectGetsTheAnswer) {
  world_.SetWork(milliseconds(400));
  const size_t first = Charge(Others()[0]);
  world_.Run(milliseconds(100));
  world_.DisconnectCaller(first);
  const size_t again = Charge(Others()[1]);
  world_.Run(seconds(2));
  EXPECT_EQ(world_.call(again).state, CallRecord::State::kAnswered);
  EXPECT_EQ(world_.RunsOfKey(key_), 1);
}

TEST_F(AtMostOnceTest, EntryKilledDuringTheRunLeavesUnknownOutcome) {
  world_.SetWork(milliseconds(400));
  const HostId e = Others()[0];
  Charge(e);
  world_.Run(milliseconds(100));
  world_.Kill(e);
  const size_t again = Charge(Others()[1], seconds(8));
  world_.Run(seconds(9));
  ASSERT_EQ(world_.call(again).state, CallRecord::State::kRefused);
  EXPECT_EQ(world_.call(again).problem.ran, Ran::kUnknown);
  // The owner's death is detected before the caller's deadline.
  EXPECT_EQ(world_.call(again).problem.code, "outcome_unknown");
  EXPECT_EQ(world_.RunsOfKey(key_), 1);
}

TEST_F(AtMostOnceTest, FullLedgerRefusesNewKeysAndKeepsOldRecords) {
  const size_t first = Charge(Others()[0]);
  world_.Run(seconds(1));
  EntryNode& node = world_.entry(primary());
  node.ledger.limits.max_records = node.ledger.record_count;
  key_ = MintKey(shard_, "order-2");
  const size_t refused = Charge(Others()[0]);
  world_.Run(seconds(1));
  ASSERT_EQ(world_.call(refused).state, CallRecord::State::kRefused);
  EXPECT_EQ(world_.call(refused).problem.code, "ledger_full");
  EXPECT_EQ(world_.call(refused).problem.ran, Ran::kNo);
  key_ = world_.call(first).spec.key;
  const size_t again = Charge(Others()[1]);
  world_.Run(seconds(1));
  EXPECT_EQ(world_.call(again).state, CallRecord::State::kAnswered);
}

}  // namespace
}  // namespace sassafras
