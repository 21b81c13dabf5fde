// Fixed-seed fuzzing of the parsers of external input: peer messages, sheets,
// settings and documents. Malformed input must not crash the parser or be
// accepted in part.

#include <gtest/gtest.h>

#include <fstream>
#include <random>
#include <sstream>

#include "base/settings.h"
#include "decisions/json_forms.h"
#include "decisions/sheet.h"
#include "decisions/topology_settings.h"
#include "peers/peers.h"

namespace sassafras {
namespace {

constexpr int kRounds = 4000;

std::string ReadFile(const std::string& name) {
  std::ifstream in(std::string(DATA_DIR) + "/" + name, std::ios::binary);
  std::ostringstream out;
  out << in.rdbuf();
  return out.str();
}

// Replaces, deletes, duplicates or inserts a few bytes.
std::string Mutate(std::string text, std::mt19937_64& random) {
  const int changes = 1 + static_cast<int>(random() % 6);
  for (int n = 0; n < changes && !text.empty(); ++n) {
    const size_t at = random() % text.size();
    const char c = static_cast<char>(random() & 0xff);
    switch (random() % 4) {
      case 0:
        text[at] = c;
        break;
      case 1:
        text.erase(at, 1 + random() % 8);
        break;
      case 2:
        text.insert(at, text.substr(at, 1 + random() % 16));
        break;
      default:
        text.insert(at, 1, c);
        break;
    }
  }
  return text;
}

std::vector<Message> Samples() {
  Heartbeat heartbeat;
  heartbeat.zones = {{ZoneId("z"), 5, {HostId("a")}, {HostId("b")}}};
  SlotRequest slot;
  slot.service = ServiceId("s");
  slot.priority = Priority::kNormal;
  KeyBegin begin;
  begin.home = {RegionId("r"), 3, Generation(2)};
  begin.key = RequestKey("k");
  KeyReplicate copy;
  copy.records.resize(2);
  copy.records[0].answer.body = std::string("\x00\xff\x80", 3);
  DocumentBatch batch;
  batch.documents = {{{DocumentKind::kPlan, "s"}, Version(4), "{}"}};
  return {heartbeat,    slot,           begin,       copy,        batch,
          HostReport(), PoisonNotice(), SlotAudit(), KeyRefusal()};
}

TEST(FuzzTest, EncodedMessagesDecodeUnchanged) {
  for (const Message& it : Samples()) {
    const std::string bytes = EncodeMessage(it);
    const std::string again = TryOr(
        [&]() -> Result<std::string> {
          BOOST_LEAF_AUTO(message, DecodeMessage(bytes));
          return EncodeMessage(message);
        },
        [](const Error& e) { return e.ToString(); });
    EXPECT_EQ(again, bytes);
  }
}

TEST(FuzzTest, MutatedMessagesAreErrors) {
  std::mt19937_64 random(20261204);
  const auto samples = Samples();
  int decoded = 0;
  for (int n = 0; n < kRounds; ++n) {
    const std::string bytes =
        Mutate(EncodeMessage(samples[random() % samples.size()]), random);
    decoded += TryOr(
        [&]() -> Result<int> {
          BOOST_LEAF_CHECK(DecodeMessage(bytes));
          return 1;
        },
        [](const Error& e) {
          EXPECT_EQ(e.step, "decode message");
          return 0;
        });
  }
  // Some mutations leave a well-formed message, but most do not.
  EXPECT_LT(decoded, kRounds / 2);
}

// The decoder recurses once for each level of nesting.
TEST(FuzzTest, DeeplyNestedMessagesAreErrors) {
  for (const size_t depth : {size_t{1000}, size_t{1'000'000}}) {
    const bool is_accepted = TryOr(
        [&]() -> Result<bool> {
          BOOST_LEAF_CHECK(DecodeMessage(std::string(depth, '\x81') + '\x01'));
          return true;
        },
        [](const Error&) { return false; });
    EXPECT_FALSE(is_accepted) << depth;
  }
}

TEST(FuzzTest, MutatedSheetsNameTheirLine) {
  std::mt19937_64 random(20261204);
  const SettingsReadResult settings =
      ReadSettings(std::string(DATA_DIR) + "/heladeras.toml");
  ASSERT_TRUE(settings.errors.empty());
  const Topology topology = MakeTopology(settings.settings);
  const std::string sample = ReadFile("sheets/heladeras.csv");
  for (int n = 0; n < kRounds; ++n) {
    const std::string text = Mutate(sample, random);
    TryOr(
        [&]() -> Result<int> {
          BOOST_LEAF_AUTO(sheet, ParseSheet(text, "sheet.csv"));
          const SheetReading reading = ReadSheet(sheet, topology);
          for (const auto& [service, part] : reading.services) {
            if (!part.shares)
              continue;
            double sum = 0;
            for (const auto& [zone, share] : *part.shares)
              sum += share;
            EXPECT_NEAR(sum, 1.0, 1e-9);
          }
          for (const RowVerdict& it : reading.verdicts)
            EXPECT_EQ(it.accepted, it.reason.empty());
          return 0;
        },
        [](const Error& e) {
          EXPECT_EQ(e.peer.compare(0, 10, "sheet.csv:"), 0) << e.peer;
          return 0;
        });
  }
}

TEST(FuzzTest, MutatedSettingsNameTheirField) {
  std::mt19937_64 random(20261204);
  const std::string sample = ReadFile("hakata.toml");
  for (int n = 0; n < kRounds; ++n) {
    const auto reading = ReadSettingsText(Mutate(sample, random), "x.toml");
    for (const SettingsError& it : reading.errors) {
      EXPECT_FALSE(it.field.empty());
      EXPECT_GT(it.line, 0) << it.ToString();
    }
  }
}

TEST(FuzzTest, MutatedDocumentsDoNotCrash) {
  std::mt19937_64 random(20261204);
  Intent intent;
  intent.services[ServiceId("s")].shares[ZoneId("z")] = 1.0;
  const std::string sample = Json(intent).dump();
  for (int n = 0; n < kRounds; ++n)
    TryReadPayload<Intent>(Mutate(sample, random));
}

}  // namespace
}  // namespace sassafras
