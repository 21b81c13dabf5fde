// Parsing, validating and loading sheets.

#include "decisions/sheet.h"

#include <gtest/gtest.h>

#include "decisions/fake_world.h"
#include "decisions/json_forms.h"
#include "decisions/sheet_load.h"

namespace sassafras {
namespace {

Topology TwoZones() {
  Topology topology;
  topology.regions = {RegionId("cuyo"), RegionId("pampa")};
  topology.zones = {{ZoneId("cuyo-a"), RegionId("cuyo")},
                    {ZoneId("pampa-a"), RegionId("pampa")}};
  topology.services[ServiceId("rounds")].id = ServiceId("rounds");
  topology.services[ServiceId("uploads")].id = ServiceId("uploads");
  return topology;
}

SheetReading Read(const std::string& text) {
  return TryOr(
      [&]() -> Result<SheetReading> {
        BOOST_LEAF_AUTO(sheet, ParseSheet(text, "sheet.csv"));
        return ReadSheet(sheet, TwoZones());
      },
      [](const Error& e) {
        ADD_FAILURE() << e.ToString();
        return SheetReading();
      });
}

std::string ErrorOf(const std::string& text) {
  return TryOr(
      [&]() -> Result<std::string> {
        BOOST_LEAF_CHECK(ParseSheet(text, "sheet.csv"));
        return std::string();
      },
      [](const Error& e) { return e.ToString(); });
}

TEST(SheetTest, CsvVariantsOfSpreadsheetsGiveTheSameRows) {
  const std::string cases[] = {
      "kind,service,region,zone,percent\n"
      "share,rounds,cuyo,cuyo-a,62.5\n"
      "share,rounds,pampa,pampa-a,37.5\n",
      "\xEF\xBB\xBFkind;service;region;zone;percent\r\n"
      "share;rounds;cuyo;cuyo-a;62,5\r\n"
      "share;rounds;pampa;pampa-a;37,5\r\n",
      "kind,service,region,zone,percent\r\n"
      "\"share\",\"rounds\",\"cuyo\",\"cuyo-a\",\"62,5\"\r\n"
      "\r\n"
      "share,rounds,pampa,pampa-a,37.5",
  };
  for (const std::string& it : cases) {
    const SheetReading reading = Read(it);
    ASSERT_EQ(CountAccepted(reading), 2U) << it;
    const auto& shares = reading.services.at(ServiceId("rounds")).shares;
    ASSERT_TRUE(shares);
    EXPECT_DOUBLE_EQ(shares->at(ZoneId("cuyo-a")), 0.625);
  }
}

TEST(SheetTest, VerdictsNameLineFieldAndReason) {
  struct Case {
    std::string row;
    std::string field;
    std::string reason;
  };
  const Case cases[] = {
      {"shore,rounds,,,,,", "kind", "'shore' is not a kind of row"},
      {"shift_cap,nothing,,,,5,", "service",
       "'nothing' is not a service of the settings"},
      {"shift_cap,rounds,,,,abc,", "percent", "'abc' is not a number"},
      {"shift_cap,rounds,,,,101,", "percent", "'101' is out of range"},
      {"shift_cap,rounds,,,,nan,", "percent", "'nan' is not a number"},
      {"shift_cap,rounds,,,,,", "percent", "is missing"},
      {"shift_cap,rounds,cuyo,,,5,", "region",
       "is not used in a row of this kind"},
      {"headroom,,chaco,,,5,", "region",
       "'chaco' is not a region of the settings"},
      {"share,rounds,cuyo,pampa-a,,100,", "zone",
       "'pampa-a' is in region pampa"},
      {"leaving,,,,e1,,tomorrow", "at",
       "'tomorrow' is not a time such as 2026-05-04T06:30Z"},
  };
  for (const Case& it : cases) {
    const SheetReading reading =
        Read("kind,service,region,zone,endpoint,percent,at\n" + it.row + "\n");
    ASSERT_EQ(reading.verdicts.size(), 1U) << it.row;
    EXPECT_FALSE(reading.verdicts[0].accepted) << it.row;
    EXPECT_EQ(reading.verdicts[0].line, 2);
    EXPECT_EQ(reading.verdicts[0].field, it.field) << it.row;
    EXPECT_EQ(reading.verdicts[0].reason, it.reason) << it.row;
  }
}

TEST(SheetTest, SharesOfAServiceAreAcceptedOrRefusedTogether) {
  const SheetReading reading = Read(
      "kind,service,region,zone,percent\n"
      "share,rounds,cuyo,cuyo-a,60\n"
      "share,rounds,pampa,pampa-a,30\n"
      "share,uploads,cuyo,cuyo-a,100\n"
      "share,uploads,pampa,pampa-b,0\n"
      "shift_cap,rounds,,,5\n");
  ASSERT_EQ(reading.verdicts.size(), 5U);
  EXPECT_EQ(reading.verdicts[0].reason,
            "the shares of this service add up to 90.00 %, not 100 %");
  EXPECT_FALSE(reading.verdicts[1].accepted);
  EXPECT_EQ(reading.verdicts[2].reason,
            "another share row of this service is refused");
  EXPECT_FALSE(reading.verdicts[3].accepted);
  EXPECT_TRUE(reading.verdicts[4].accepted);
  EXPECT_EQ(reading.refused_services.size(), 2U);
}

TEST(SheetTest, UnreadableFileIsRefusedWithLineOrReason) {
  EXPECT_NE(ErrorOf("").find("no header"), std::string::npos);
  EXPECT_NE(ErrorOf("kind,colour\n").find("unknown column 'colour'"),
            std::string::npos);
  EXPECT_NE(ErrorOf("kind,kind\n").find("is repeated"), std::string::npos);
  EXPECT_NE(ErrorOf("kind\na,b\n").find("sheet.csv:2"), std::string::npos);
  EXPECT_NE(ErrorOf("kind\n\"open\n").find("sheet.csv"), std::string::npos);
}

// ---- Loading ----

class LoadTest : public ::testing::Test {
 protected:
  LoadProcess Process(const std::string& id, double cuyo) {
    LoadProcess process;
    process.request.load_id = id;
    process.request.operator_name = "operator of " + id;
    process.request.sheet_hash = std::hash<std::string>()(id);
    process.request.reading =
        Read("kind,service,region,zone,percent\nshare,rounds,cuyo,cuyo-a," +
             std::to_string(cuyo) + "\nshare,rounds,pampa,pampa-a," +
             std::to_string(100 - cuyo) + "\n");
    return process;
  }

  StoreReply Ask(const LoadStep& step) {
    if (const auto* get = std::get_if<StoreGet>(&step))
      return store_.Get(*get);
    return store_.Put(std::get<StorePut>(step));
  }

  LoadResult Finish(LoadProcess& process, LoadStep step) {
    while (process.phase != LoadProcess::Phase::kDone)
      step = ContinueLoad(process, Ask(step));
    return process.result;
  }

  LoadResult Load(LoadProcess& process) {
    return Finish(process, BeginLoad(process));
  }

  Intent Stored() {
    return *TryReadPayload<Intent>(
        store_.objects.at({"intent", kSoleDocument}).value);
  }

  FakeStore store_;
};

TEST_F(LoadTest, LoadingTheSameSheetAgainChangesNothing) {
  LoadProcess first = Process("a", 60);
  EXPECT_EQ(Load(first).outcome, LoadOutcome::kInForce);
  LoadProcess again = Process("a", 60);
  again.request.load_id = "another";
  EXPECT_EQ(Load(again).outcome, LoadOutcome::kUnchanged);
  EXPECT_EQ(Stored().version, Version(1));
}

// An operator who repeats a load of unknown outcome must not overwrite a later
// load.
TEST_F(LoadTest, RepeatedLoadIdIsFoundAndNotLoadedAgain) {
  LoadProcess a = Process("a", 60);
  Load(a);
  LoadProcess b = Process("b", 70);
  Load(b);
  LoadProcess again = Process("a", 60);
  EXPECT_EQ(Load(again).outcome, LoadOutcome::kReplaced);
  EXPECT_EQ(Stored().loaded_by, "operator of b");
}

// History 12: two operators load at the same time, from the same base.
TEST_F(LoadTest, ConcurrentLoadsEndInOneAcceptedAndOneConflict) {
  LoadProcess a = Process("a", 60);
  LoadProcess b = Process("b", 70);
  LoadStep step_a = ContinueLoad(a, Ask(BeginLoad(a)));
  LoadStep step_b = ContinueLoad(b, Ask(BeginLoad(b)));
  EXPECT_EQ(Finish(a, step_a).outcome, LoadOutcome::kInForce);
  const LoadResult lost = Finish(b, step_b);
  EXPECT_EQ(lost.outcome, LoadOutcome::kConflict);
  EXPECT_EQ(lost.other_operator, "operator of a");
  EXPECT_EQ(lost.other_version, Version(1));
  const Intent stored = Stored();
  const auto& shares = stored.services.at(ServiceId("rounds")).shares;
  EXPECT_DOUBLE_EQ(shares.at(ZoneId("cuyo-a")), 0.6);
}

// History 13: the answer to the write is lost, and another load replaces it
// before it is read back.
TEST_F(LoadTest, LostAnswerThenReplacedIsReportedAsReplaced) {
  LoadProcess a = Process("a", 60);
  LoadStep step = ContinueLoad(a, Ask(BeginLoad(a)));
  store_.lose_answers = 1;
  step = ContinueLoad(a, Ask(step));
  ASSERT_NE(a.phase, LoadProcess::Phase::kDone);
  LoadProcess b = Process("b", 70);
  EXPECT_EQ(Load(b).outcome, LoadOutcome::kInForce);
  const LoadResult result = Finish(a, step);
  EXPECT_EQ(result.outcome, LoadOutcome::kReplaced);
  EXPECT_EQ(result.version, Version(1));
  EXPECT_EQ(result.other_operator, "operator of b");
}

TEST_F(LoadTest, LostAnswerIsResolvedByReadingBack) {
  LoadProcess a = Process("a", 60);
  store_.lose_answers = 1;
  EXPECT_EQ(Load(a).outcome, LoadOutcome::kInForce);
  EXPECT_EQ(Stored().version, Version(1));
}

TEST_F(LoadTest, StoreDownIsReportedAsNotAcceptedOrUnknown) {
  LoadProcess a = Process("a", 60);
  store_.down = true;
  EXPECT_EQ(Load(a).outcome, LoadOutcome::kNotAccepted);
  // If the store goes down after the write was sent, the write may have taken
  // effect.
  store_.down = false;
  LoadProcess b = Process("b", 60);
  LoadStep step = ContinueLoad(b, Ask(BeginLoad(b)));
  store_.lose_answers = 1;
  step = ContinueLoad(b, Ask(step));
  store_.down = true;
  EXPECT_EQ(Finish(b, step).outcome, LoadOutcome::kUnknown);
  // A later load with the same id finds the earlier write.
  store_.down = false;
  LoadProcess c = Process("b", 60);
  EXPECT_EQ(Load(c).outcome, LoadOutcome::kInForce);
  EXPECT_EQ(c.result.version, Version(1));
}

TEST_F(LoadTest, RefusedServiceKeepsItsLastIntent) {
  LoadProcess first = Process("a", 60);
  Load(first);
  LoadProcess second = Process("b", 70);
  second.request.reading = Read(
      "kind,service,region,zone,percent\n"
      "share,rounds,cuyo,cuyo-a,10\n"
      "headroom,,cuyo,,25\n");
  EXPECT_EQ(Load(second).outcome, LoadOutcome::kInForce);
  const Intent stored = Stored();
  EXPECT_EQ(stored.version, Version(2));
  EXPECT_DOUBLE_EQ(
      stored.services.at(ServiceId("rounds")).shares.at(ZoneId("cuyo-a")), 0.6);
  EXPECT_DOUBLE_EQ(stored.headroom.at(RegionId("cuyo")), 0.25);
}

}  // namespace
}  // namespace sassafras
