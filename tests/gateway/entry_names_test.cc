// Store entries whose names hold characters with a meaning in URLs, headers,
// JSON or log lines, or that cannot be read, tested with gateway processes.

#include <gtest/gtest.h>
#include <signal.h>

#include <algorithm>
#include <fstream>
#include <set>
#include <sstream>

#include <nlohmann/json.hpp>

#include "gateway/gateway_fixture.h"

namespace sassafras {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Json = nlohmann::json;

// The shortest limit for a change that the platform's documentation states for
// any deployment.
constexpr milliseconds kApplyTime{2000};
constexpr const char* kKinds[] = {"servers", "evacuations", "config",
                                  "steering-hosts"};

// Sort before, between and after the stand-ins' own names.
std::vector<std::string> OddNames() {
  std::vector<std::string> names = {"!", "~", "\x7f", "i-1 ", " i-1"};
  for (const char* it :
       {" ",        "+",    "&",  "#",    "%",           "?",
        "=",        "/",    "\"", "\\",   "\n",          ";",
        ":",        "\t",   "\r", "%25",  "%2F",         "&after=z",
        "\x01",     ",",    "<",  "'",    "{",           "$",
        "\xc3\xa9", "\xff", "..", "/../", "&stale-ok=0", "\r\nX-Added: 1"}) {
    names.push_back("a" + std::string(it) + "b");
    names.push_back("i-1" + std::string(it));
    names.push_back("z" + std::string(it));
  }
  names.push_back("i-1" + std::string(2000, 'x'));
  return names;
}

class EntryNamesTest : public GatewayTest {
 protected:
  void PutAll(const std::vector<std::string>& names, const Json& value) {
    for (const char* kind : kKinds) {
      for (const std::string& it : names)
        world_.store().Put(kind, it, value);
    }
  }

  void DeleteAll(const std::vector<std::string>& names) {
    for (const char* kind : kKinds) {
      for (const std::string& it : names)
        world_.store().Delete(kind, it);
    }
  }

  void AddEndpoints(int n) {
    for (int i = 0; i < n; ++i)
      endpoints_.push_back(&world_.AddEndpoint("rondas"));
  }

  void StartHosts(int n) {
    for (int i = 1; i <= n; ++i)
      world_.StartGateway(i);
    for (int i = 1; i <= n; ++i)
      ASSERT_TRUE(world_.WaitReady(i));
  }

  void KillHosts(int n) {
    for (int i = 1; i <= n; ++i) {
      world_.Signal(i, SIGKILL);
      ASSERT_TRUE(world_.WaitEnd(i, seconds(2)));
    }
  }

  // Sends requests for several objects to `host`. Returns the number of
  // endpoints that ran one; each request must be answered 200.
  size_t CountReached(int host) {
    std::set<size_t> reached;
    for (int i = 0; i < 25; ++i) {
      std::vector<size_t> before;
      for (const PlatformStandinEndpoint* it : endpoints_)
        before.push_back(it->runs().size());
      const std::string id = "c" + std::to_string(++requests_);
      EXPECT_EQ(
          StatusAt(host, RequestText("GET", "/read/" + id, id,
                                     "Cookie: Affinity-Key=" + id + "\r\n")),
          200);
      for (size_t k = 0; k < endpoints_.size(); ++k) {
        if (endpoints_[k]->runs().size() > before[k])
          reached.insert(k);
      }
    }
    return reached.size();
  }

  bool AllReachedWithin(milliseconds time, int host) {
    return world_.Eventually(
        time, [&] { return CountReached(host) == endpoints_.size(); });
  }

  std::string LogOf(int host) const {
    std::ostringstream os;
    os << std::ifstream(world_.LogPathOf(host)).rdbuf();
    return os.str();
  }

  int requests_ = 0;
};

// Incident 031. All processes start while such entries stand.
TEST_F(EntryNamesTest, ListsGoOnAfterAnyName) {
  constexpr int kHosts = 3;
  for (const size_t page_size : {1, 3}) {
    SCOPED_TRACE(page_size);
    world_.store().set_page_size(page_size);
    PutAll(OddNames(), Json{{"service", 5}});
    if (endpoints_.empty())
      AddEndpoints(3);
    // Both kinds of lists that may be stale.
    world_.store().set_stale_lists(true);
    world_.store().set_stale_lists_name_present_revision(page_size > 1);
    world_.PutConfig(static_cast<int>(page_size));
    StartHosts(kHosts);
    for (int i = 1; i <= kHosts; ++i)
      EXPECT_TRUE(AllReachedWithin(kApplyTime, i));
    KillHosts(kHosts);
    world_.store().set_stale_lists(false);
  }
}

// Incident 031. The platform's documentation does not say how a name is to be
// written into a query.
TEST_F(EntryNamesTest, ListsGoOnHoweverTheStoreReadsNames) {
  constexpr int kHosts = 2;
  const std::vector<std::vector<std::string>> cases = {
      OddNames(), {"a&"}, {"i-2&"}, {"i-2\xc3\xa9"}};
  AddEndpoints(4);
  int version = 0;
  for (const auto reading :
       {StandinNameReading::kNotDecoded,
        StandinNameReading::kDecodedBeforeSplit, StandinNameReading::kRefused,
        StandinNameReading::kUnavailable, StandinNameReading::kUnanswered}) {
    world_.store().set_name_reading(reading);
    for (const size_t page_size : {1, 2, 5}) {
      world_.store().set_page_size(page_size);
      for (const std::vector<std::string>& names : cases) {
        SCOPED_TRACE(static_cast<int>(reading));
        SCOPED_TRACE(page_size);
        SCOPED_TRACE(testing::PrintToString(names[0]));
        PutAll(names, Json{{"service", 5}});
        world_.PutConfig(++version);
        StartHosts(kHosts);
        for (int i = 1; i <= kHosts; ++i)
          EXPECT_TRUE(AllReachedWithin(kApplyTime, i));
        KillHosts(kHosts);
        DeleteAll(names);
      }
    }
  }
}

// Incident 031.
TEST_F(EntryNamesTest, RemovalsHoldIfListsSkipNames) {
  constexpr int kHosts = 2;
  world_.store().set_page_size(1);
  world_.store().Put("servers", "a&", Json{{"service", 5}});
  AddEndpoints(4);
  world_.PutConfig(1);
  StartHosts(kHosts);
  for (int i = 1; i <= kHosts; ++i)
    EXPECT_TRUE(AllReachedWithin(kApplyTime, i));
  world_.store().Delete("servers", "i-1");
  Wait(kApplyTime);
  const int before = endpoints_[0]->arrivals();
  for (int i = 1; i <= kHosts; ++i)
    EXPECT_EQ(CountReached(i), 3U);
  EXPECT_EQ(endpoints_[0]->arrivals(), before);
  // Only a new list shows this removal.
  world_.store().DropWatchEvents();
  world_.store().Delete("servers", "i-2");
  world_.store().DropHistory();
  Wait(kApplyTime * 2);
  const int before_list = endpoints_[1]->arrivals();
  for (int i = 1; i <= kHosts; ++i)
    EXPECT_EQ(CountReached(i), 2U);
  EXPECT_EQ(endpoints_[1]->arrivals(), before_list);
}

// Incident 031. To such a store, the name to which lists skip is unknown.
TEST_F(EntryNamesTest, ListThatEndsTooEarlyRemovesNothing) {
  constexpr int kHosts = 2;
  world_.store().set_page_size(1);
  AddEndpoints(4);
  world_.PutConfig(1);
  StartHosts(kHosts);
  for (int i = 1; i <= kHosts; ++i)
    EXPECT_TRUE(AllReachedWithin(kApplyTime, i));
  world_.store().set_name_reading(StandinNameReading::kEndsAfterUnknown);
  world_.store().DropWatchEvents();
  world_.store().Put("servers", "a&", Json{{"service", 5}});
  world_.store().DropHistory();
  Wait(kApplyTime * 2);
  for (int i = 1; i <= kHosts; ++i)
    EXPECT_EQ(CountReached(i), endpoints_.size());
}

// Incident 031. With a name for each character, one at a time.
TEST_F(EntryNamesTest, EachNameAloneDoesNotStopAHostThatStarts) {
  world_.store().set_page_size(2);
  AddEndpoints(2);
  world_.PutConfig(1);
  for (const char* it : {"i-1 ", "i-1+", "i-1&", "i-1#", "i-1%", "i-1%25"}) {
    SCOPED_TRACE(it);
    // The last one on the first page.
    world_.store().Put("servers", it, Json{{"service", 5}});
    world_.StartGateway(1);
    EXPECT_TRUE(world_.WaitReady(1));
    EXPECT_EQ(
        StatusAt(1, RequestText("GET", "/read/1", std::string("e") + it[3])),
        200);
    KillHosts(1);
    world_.store().Delete("servers", it);
  }
}

// Incident 031.
TEST_F(EntryNamesTest, HostsThatFollowSeeWhatStandsBehindSuchEntries) {
  constexpr int kHosts = 4;
  world_.store().set_page_size(2);
  AddEndpoints(2);
  world_.PutConfig(1);
  StartHosts(kHosts);
  // The names appear, change and go.
  PutAll(OddNames(), Json{{"service", 5}});
  PutAll(OddNames(), Json{{"service", "rondas"}});
  AddEndpoints(1);
  EXPECT_TRUE(AllReachedWithin(kApplyTime, 1));
  EXPECT_TRUE(AllReachedWithin(kApplyTime, kHosts));
  // All followers of the store read the list again.
  world_.store().DropWatchEvents();
  AddEndpoints(1);
  world_.store().DropHistory();
  EXPECT_TRUE(AllReachedWithin(kApplyTime * 2, 1));
  EXPECT_TRUE(AllReachedWithin(kApplyTime * 2, kHosts));
  DeleteAll(OddNames());
  AddEndpoints(1);
  for (int i = 1; i <= kHosts; ++i) {
    EXPECT_TRUE(AllReachedWithin(kApplyTime, i));
    EXPECT_FALSE(world_.HasExited(i));
  }
}

// Incident 031.
TEST_F(EntryNamesTest, EvacuationBehindSuchEntriesHoldsFromTheStart) {
  world_.store().set_page_size(2);
  PutAll(OddNames(), Json::object());
  AddEndpoints(1);
  PlatformStandinEndpoint& evacuated =
      world_.AddEndpoint("rondas", kStandinZones[1].zone);
  world_.store().Put("evacuations", kStandinZones[1].zone, Json::object());
  world_.PutConfig(1);
  StartHosts(1);
  EXPECT_EQ(CountReached(1), 1U);
  EXPECT_EQ(evacuated.arrivals(), 0);
}

// Incident 031.
TEST_F(EntryNamesTest, ListGoesOnAfterEntriesWithoutANameOrWithBrokenText) {
  world_.store().set_page_size(2);
  AddEndpoints(4);
  // Each is the last one on its page, or the first one after another such.
  world_.store().PutNameless("servers", "i-1x", Json::object());
  world_.store().PutRawText("servers", "i-2x", "}{");
  world_.store().PutRawText("servers", "i-3x", R"({"service":"rondas",)");
  world_.store().PutRawText("evacuations", "a", "]");
  world_.PutConfig(1);
  StartHosts(1);
  EXPECT_TRUE(AllReachedWithin(kApplyTime, 1));
  // The first page begins with such an entry and names no revision.
  world_.store().PutRawText("servers", "a", "}{");
  Wait(milliseconds(300));
  world_.store().DropHistory();
  AddEndpoints(1);
  EXPECT_TRUE(AllReachedWithin(kApplyTime, 1));
  const int calls = world_.store().calls();
  Wait(milliseconds(1000));
  EXPECT_LT(world_.store().calls() - calls, 40);
  // They appear in answers to watches.
  world_.store().PutRawText("servers", "i-1y", "}{");
  AddEndpoints(1);
  EXPECT_TRUE(AllReachedWithin(kApplyTime, 1));
  world_.store().PutRawText("servers", "i-1y", R"({"state":)");
  AddEndpoints(1);
  EXPECT_TRUE(AllReachedWithin(kApplyTime, 1));
}

// Incident 031. What was known, and what can be read, goes on to be used.
TEST_F(EntryNamesTest, ListThatCannotGoOnDoesNotStopService) {
  constexpr int kHosts = 3;
  world_.store().set_page_size(2);
  AddEndpoints(4);
  world_.PutConfig(1);
  StartHosts(kHosts);
  EXPECT_TRUE(AllReachedWithin(kApplyTime, 1));
  // No name on the second page leads to the third one.
  const std::vector<std::string> nameless = {"i-2x", "i-2y", "i-2z"};
  for (const std::string& it : nameless)
    world_.store().PutNameless("servers", it, Json::object());
  // A host that starts has the rest from the others.
  world_.StartGateway(kHosts + 1);
  ASSERT_TRUE(world_.WaitReady(kHosts + 1));
  EXPECT_TRUE(AllReachedWithin(kApplyTime, kHosts + 1));
  world_.store().DropHistory();
  Wait(kApplyTime);
  for (int i = 1; i <= kHosts + 1; ++i)
    EXPECT_EQ(CountReached(i), endpoints_.size());
  // Without others, a host has what the list shows.
  KillHosts(kHosts + 1);
  StartHosts(kHosts);
  for (int i = 1; i <= kHosts; ++i)
    EXPECT_GE(CountReached(i), 2U);
  // Changes arrive through the relays.
  AddEndpoints(1);
  EXPECT_TRUE(world_.Eventually(kApplyTime, [&] {
    CountReached(kHosts);
    return !endpoints_.back()->runs().empty();
  }));
  for (const std::string& it : nameless)
    world_.store().Delete("servers", it);
  for (int i = 1; i <= kHosts; ++i)
    EXPECT_TRUE(AllReachedWithin(seconds(5), i));
}

// Incident 031. As with entries that let the store fail on a page.
TEST_F(EntryNamesTest, PagesThatFailForGoodDoNotStopService) {
  world_.store().set_page_size(2);
  AddEndpoints(4);
  world_.PutConfig(1);
  world_.store().set_later_pages_fail(true);
  StartHosts(1);
  EXPECT_EQ(CountReached(1), 2U);
  AddEndpoints(1);
  EXPECT_TRUE(world_.Eventually(kApplyTime, [&] {
    CountReached(1);
    return !endpoints_.back()->runs().empty();
  }));
  world_.store().set_later_pages_fail(false);
  EXPECT_TRUE(AllReachedWithin(seconds(5), 1));
}

// Incident 031. The name is sent in a header of each request to the endpoint.
TEST_F(EntryNamesTest, RecordInOrderUnderAnOddNameAddsNoHeaders) {
  AddEndpoints(1);
  PlatformStandinEndpoint& endpoint = *endpoints_[0];
  // The endpoint's own address under other names.
  for (const std::string& it : OddNames())
    world_.store().Put("servers", it, endpoint.Record("rondas", "cuyo-a"));
  world_.store().Put("servers", "i-1\r\nX-Added: 1",
                     endpoint.Record("rondas", "cuyo-a"));
  world_.store().Put("servers",
                     "i-1\r\n\r\nGET /read/added HTTP/1.1\r\nRequest-Id: added",
                     endpoint.Record("rondas", "cuyo-a"));
  world_.PutConfig(1);
  StartHosts(1);
  for (int i = 0; i < 200; ++i) {
    const std::string id = "h" + std::to_string(i);
    StatusAt(1, RequestText("GET", "/read/" + id, id,
                            "Cookie: Affinity-Key=" + id + "\r\n"));
  }
  EXPECT_FALSE(world_.HasExited(1));
  EXPECT_FALSE(endpoint.runs().empty());
  for (const auto& it : endpoint.runs()) {
    EXPECT_EQ(FindField(it.head.fields, "X-Added"), nullptr);
    EXPECT_EQ(it.request_id[0], 'h');
  }
}

// Incident 031. An endpoint that is sent requests for another id rejects them.
TEST_F(EntryNamesTest, RecordInOrderUnderAnOddNameDoesNotHideTheEndpoint) {
  AddEndpoints(2);
  world_.PutConfig(1);
  StartHosts(1);
  WaitUntilHostsAreKnown();
  for (const std::string it :
       {"i-1&", "i-1+", "i-1 b", "!", "~", "i-1\xff", "i-1\r\nX: y"}) {
    SCOPED_TRACE(testing::PrintToString(it));
    world_.store().Put("servers", it,
                       endpoints_[0]->Record("rondas", "cuyo-a"));
    Wait(milliseconds(300));
    for (const char* path : {"/read/", "/charge/"}) {
      for (int i = 0; i < 4; ++i) {
        const std::string id = "n" + std::to_string(++requests_);
        EXPECT_EQ(StatusAt(1, RequestText("POST", path + id, id,
                                          "Cookie: Affinity-Key=" + id + "\r\n",
                                          "b")),
                  200);
      }
    }
    world_.store().Delete("servers", it);
  }
}

// Incident 031.
TEST_F(EntryNamesTest, RecordInOrderUnderAnOddNameGetsNoRequests) {
  world_.store().set_page_size(5);
  AddEndpoints(2);
  // They answer requests for other ids with 421.
  PlatformStandinEndpoint& foreign = world_.AddEndpoint("bitacora");
  foreign.set_behavior(StandinBehavior::kMisdirected);
  for (const char* c : {"&", "+", "#", "%", " "}) {
    for (const std::string& it : {std::string("i-1") + c, "a" + std::string(c)})
      world_.store().Put("servers", it, foreign.Record("rondas", "cuyo-a"));
  }
  for (const char* it : {".", ".."})
    world_.store().Put("servers", it, foreign.Record("rondas", "cuyo-a"));
  world_.PutConfig(1);
  StartHosts(1);
  WaitUntilHostsAreKnown();
  for (int i = 0; i < 100; ++i) {
    const std::string id = "o" + std::to_string(i);
    EXPECT_EQ(StatusAt(1, RequestText("GET", "/read/" + id, id,
                                      "Cookie: Affinity-Key=" + id + "\r\n")),
              200);
  }
  EXPECT_EQ(foreign.arrivals(), 0);
}

// Incident 031. Under a name that is no text the process ended.
TEST_F(EntryNamesTest, StateAndMetricsShowAnyName) {
  AddEndpoints(1);
  for (const std::string& it : OddNames()) {
    world_.store().Put("servers", it,
                       endpoints_[0]->Record("rondas", "cuyo-a"));
    world_.store().Put("evacuations", it, Json::object());
  }
  world_.PutConfig(1);
  StartHosts(1);
  for (const char* path : {"/state", "/metrics"}) {
    SCOPED_TRACE(path);
    PlatformStandinCaller caller(world_.loop(), world_.OperatorAddressOf(1));
    caller.Send("GET " + std::string(path) + " HTTP/1.1\r\nHost: h\r\n\r\n");
    world_.RunUntil(kAnswerTimeout, [&] {
      return !caller.answers().empty() || caller.is_closed();
    });
    ASSERT_FALSE(caller.answers().empty());
    EXPECT_EQ(caller.answers()[0].head.status, 200);
    if (std::string(path) == "/state")
      EXPECT_TRUE(Json::accept(caller.answers()[0].body));
  }
  EXPECT_FALSE(world_.HasExited(1));
}

// Incident 031. Each line of the log is one that a process wrote.
TEST_F(EntryNamesTest, LogLinesStayWhole) {
  AddEndpoints(1);
  const std::string forged = "i-1\n2026-01-01T00:00:00.000 INFO [forged] line";
  world_.store().Put("servers", forged,
                     endpoints_[0]->Record("rondas", "cuyo-a"));
  world_.store().Put("servers", "j" + forged, Json{{"service", 5}});
  world_.store().Put("evacuations", forged, Json::object());
  world_.store().Put("evacuations", "z state=ready \x1b[2J", Json::object());
  world_.PutConfig(1);
  StartHosts(1);
  EXPECT_EQ(StatusAt(1, RequestText("GET", "/read/1", "g1")), 200);
  EXPECT_TRUE(world_.Eventually(kApplyTime, [&] {
    return LogOf(1).find("Request finished.") != std::string::npos;
  }));
  const std::string log = LogOf(1);
  EXPECT_EQ(log.find("\n2026-01-01T00:00:00.000"), std::string::npos);
  EXPECT_EQ(log.find('\x1b'), std::string::npos);
  EXPECT_NE(log.find(R"(zone="z state=ready \x1b[2J")"), std::string::npos);
}

// Incident 031. As review/9: the record cannot be read any more, then it goes.
TEST_F(EntryNamesTest, EndpointWhoseRecordBecomesUnreadableTextGetsNoRequests) {
  AddEndpoints(2);
  world_.PutConfig(1);
  StartHosts(2);
  for (int i = 1; i <= 2; ++i)
    EXPECT_TRUE(AllReachedWithin(kApplyTime, i));
  // Each entry: how the record of the first endpoint is written.
  for (const char* text : {R"({"service":"rondas","state":"drai)"
                           "\xff"
                           R"(ning"})",
                           "}{", R"({"service":)"}) {
    SCOPED_TRACE(testing::PrintToString(text));
    world_.store().PutRawText("servers", "i-1", text);
    Wait(kApplyTime);
    int before = endpoints_[0]->arrivals();
    for (int i = 1; i <= 2; ++i)
      EXPECT_EQ(CountReached(i), 1U);
    EXPECT_EQ(endpoints_[0]->arrivals(), before);
    world_.store().Delete("servers", "i-1");
    Wait(kApplyTime);
    before = endpoints_[0]->arrivals();
    for (int i = 1; i <= 2; ++i)
      EXPECT_EQ(CountReached(i), 1U);
    EXPECT_EQ(endpoints_[0]->arrivals(), before);
    world_.Register(*endpoints_[0], "rondas");
    for (int i = 1; i <= 2; ++i)
      EXPECT_TRUE(AllReachedWithin(kApplyTime, i));
  }
}

}  // namespace
}  // namespace sassafras
