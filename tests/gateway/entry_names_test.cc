// Store entries whose names hold characters with a meaning in URLs, headers,
// JSON or log lines, or that cannot be read, tested with gateway processes.

#include <gtest/gtest.h>
#include <signal.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <random>
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
  size_t CountReached(int host) { return CountReached(host, true); }

  // If `must_be_answered` is not set, requests may be answered otherwise.
  size_t CountReached(int host, bool must_be_answered) {
    std::set<size_t> reached;
    for (int i = 0; i < 25; ++i) {
      std::vector<size_t> before;
      for (const PlatformStandinEndpoint* it : endpoints_)
        before.push_back(it->runs().size());
      const std::string id = "c" + std::to_string(++requests_);
      const int status =
          StatusAt(host, RequestText("GET", "/read/" + id, id,
                                     "Cookie: Affinity-Key=" + id + "\r\n"));
      if (must_be_answered) {
        EXPECT_EQ(status, 200);
      }
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

std::string TextOf(const StandinListRules& rules) {
  std::ostringstream os;
  os << "name_reading=" << static_cast<int>(rules.name_reading)
     << " unknown_name=" << static_cast<int>(rules.unknown_name)
     << " order=" << static_cast<int>(rules.order)
     << " continues_only_after_pages=" << rules.continues_only_after_pages
     << " page_size=" << rules.page_size << " page_bytes=" << rules.page_bytes;
  return os.str();
}

std::vector<std::string> NumberedNames(const std::string& prefix, int n) {
  std::vector<std::string> names;
  names.reserve(static_cast<size_t>(n));
  for (int i = 0; i < n; ++i)
    names.push_back(prefix + std::to_string(i));
  return names;
}

// Each of these stores can be read in some way: it takes names as they are
// written, or goes on after names that no object has in the order of bytes.
std::vector<StandinListRules> ReadableStores() {
  std::vector<StandinListRules> stores;
  for (const auto order :
       {StandinOrder::kByBytes, StandinOrder::kDescending,
        StandinOrder::kIgnoringCase, StandinOrder::kIgnoringPunctuation,
        StandinOrder::kByHash, StandinOrder::kByCreation}) {
    for (const auto unknown :
         {StandinUnknownName::kAccepted, StandinUnknownName::kRefused,
          StandinUnknownName::kUnavailable, StandinUnknownName::kEndsList,
          StandinUnknownName::kRestartsList}) {
      stores.push_back({StandinNameReading::kDecoded, unknown, order});
    }
    stores.push_back({StandinNameReading::kDecoded,
                      StandinUnknownName::kAccepted, order, true});
  }
  stores.push_back(
      {StandinNameReading::kDecoded, StandinUnknownName::kUnanswered});
  for (const auto reading :
       {StandinNameReading::kNotDecoded,
        StandinNameReading::kDecodedBeforeSplit, StandinNameReading::kRefused,
        StandinNameReading::kUnavailable, StandinNameReading::kUnanswered})
    stores.push_back({reading});
  return stores;
}

// Incident 031. The platform's documentation leaves open which names a list
// can go on after, how they are written, the order, and the size of pages.
TEST_F(EntryNamesTest, NoSingleRuleOfListsStopsService) {
  constexpr int kHosts = 2;
  const std::vector<std::vector<std::string>> cases = {{"a&b"},
                                                       NumberedNames("a&", 21),
                                                       {"i-2&", "i-2+", "i-2#"},
                                                       OddNames(),
                                                       NumberedNames("z ", 31)};
  struct PageLimit {
    size_t objects = 0;
    size_t bytes = 1 << 20;
  };
  const std::vector<PageLimit> pages = {{1}, {2}, {3}, {5}, {500, 600}};
  AddEndpoints(4);
  size_t play = 0;
  for (StandinListRules rules : ReadableStores()) {
    // Each store meets another pair of these than the one before it.
    const auto& names = cases[play % cases.size()];
    const PageLimit& page = pages[(play / cases.size() + play) % pages.size()];
    ++play;
    rules.page_size = page.objects;
    rules.page_bytes = page.bytes;
    SCOPED_TRACE(TextOf(rules));
    SCOPED_TRACE(testing::PrintToString(names[0]));
    world_.store().set_list_rules(rules);
    PutAll(names, Json{{"service", 5}});
    world_.PutConfig(static_cast<int>(play));
    StartHosts(kHosts);
    for (int i = 1; i <= kHosts; ++i)
      EXPECT_TRUE(AllReachedWithin(kApplyTime, i));
    KillHosts(kHosts);
    DeleteAll(names);
  }
}

// A store that is drawn from all rules, and what other writers do to it.
struct DrawnStore {
  StandinListRules rules;
  std::vector<std::string> names;
  std::vector<std::string> kinds;
  bool appear_after_start = false;
};

template <typename T>
T Draw(std::mt19937& random, const std::vector<T>& choices) {
  return choices[random() % choices.size()];
}

DrawnStore DrawStore(std::mt19937& random) {
  using Reading = StandinNameReading;
  using Unknown = StandinUnknownName;
  using Order = StandinOrder;
  DrawnStore store;
  store.rules.name_reading = Draw<Reading>(
      random, {Reading::kDecoded, Reading::kDecoded, Reading::kNotDecoded,
               Reading::kDecodedBeforeSplit, Reading::kRefused,
               Reading::kUnavailable, Reading::kUnanswered});
  store.rules.unknown_name =
      Draw<Unknown>(random, {Unknown::kAccepted, Unknown::kRefused,
                             Unknown::kUnavailable, Unknown::kUnanswered,
                             Unknown::kEndsList, Unknown::kRestartsList});
  store.rules.order =
      Draw<Order>(random, {Order::kByBytes, Order::kByBytes, Order::kDescending,
                           Order::kIgnoringCase, Order::kIgnoringPunctuation,
                           Order::kByHash, Order::kByCreation});
  store.rules.continues_only_after_pages = Draw<int>(random, {0, 0, 0, 1}) != 0;
  store.rules.page_size = Draw<size_t>(random, {1, 2, 3, 5, 500});
  store.rules.page_bytes = Draw<size_t>(random, {600, 1 << 20});
  store.names =
      Draw<std::vector<std::string>>(random, {{"a&b"},
                                              NumberedNames("a&", 21),
                                              {"i-2&", "i-2+", "i-2#"},
                                              OddNames(),
                                              NumberedNames("z ", 31)});
  store.kinds = Draw<std::vector<std::string>>(
      random, {{std::begin(kKinds), std::end(kKinds)},
               {"servers"},
               {"evacuations"},
               {"config"},
               {"steering-hosts"}});
  store.appear_after_start = Draw<int>(random, {0, 0, 1}) != 0;
  return store;
}

// Whether some way to go on after any name is valid in each list of the store.
bool CanBeRead(const StandinListRules& rules) {
  const bool takes_next_names =
      rules.unknown_name == StandinUnknownName::kAccepted &&
      rules.order == StandinOrder::kByBytes &&
      !rules.continues_only_after_pages;
  return rules.name_reading == StandinNameReading::kDecoded || takes_next_names;
}

// Incident 031. STORES=FIRST-LAST draws others.
TEST_F(EntryNamesTest, DrawnStoresAreServed) {
  constexpr int kHosts = 2;
  int first = 1;
  int last = 20;
  if (const char* range = std::getenv("STORES"))
    ASSERT_EQ(std::sscanf(range, "%d-%d", &first, &last), 2);
  AddEndpoints(4);
  for (int i = first; i <= last; ++i) {
    std::mt19937 random(static_cast<uint32_t>(i));
    const DrawnStore store = DrawStore(random);
    SCOPED_TRACE(i);
    SCOPED_TRACE(TextOf(store.rules));
    const auto put_all = [&] {
      for (const std::string& kind : store.kinds) {
        for (const std::string& it : store.names)
          world_.store().Put(kind, it, Json{{"service", 5}});
      }
    };
    world_.store().set_list_rules(store.rules);
    world_.PutConfig(i);
    if (!store.appear_after_start)
      put_all();
    for (int k = 1; k <= kHosts; ++k)
      world_.StartGateway(k);
    size_t least_reached = endpoints_.size();
    for (int k = 1; k <= kHosts; ++k) {
      const bool is_ready = world_.WaitReady(k);
      EXPECT_TRUE(is_ready || !CanBeRead(store.rules));
      if (!is_ready)
        least_reached = 0;
    }
    if (store.appear_after_start) {
      world_.store().DropWatchEvents();
      put_all();
      world_.store().DropHistory();
      Wait(kApplyTime);
    }
    for (int k = 1; k <= kHosts && least_reached > 0; ++k) {
      size_t reached = 0;
      world_.Eventually(kApplyTime, [&] {
        reached = CountReached(k, CanBeRead(store.rules));
        return reached == endpoints_.size();
      });
      least_reached = std::min(least_reached, reached);
    }
    EXPECT_TRUE(least_reached == endpoints_.size() || !CanBeRead(store.rules));
    std::cout << "store " << i << ": " << least_reached << " of "
              << endpoints_.size() << " endpoints; " << TextOf(store.rules)
              << " names=" << testing::PrintToString(store.names[0])
              << " kinds=" << testing::PrintToString(store.kinds)
              << " after_start=" << store.appear_after_start << '\n';
    KillHosts(kHosts);
    for (const char* kind : kKinds) {
      for (const std::string& it : store.names)
        world_.store().Delete(kind, it);
    }
  }
}

// Incident 031. No way to go on is valid in this store.
TEST_F(EntryNamesTest, ObjectsThatAreNeededByNameNeedNoList) {
  world_.UseAllZones();
  StandinListRules rules;
  rules.page_size = 1;
  rules.name_reading = StandinNameReading::kRefused;
  rules.unknown_name = StandinUnknownName::kRefused;
  world_.store().set_list_rules(rules);
  for (const char* kind : {"config", "evacuations"}) {
    for (const char* it : {"a&", "a+", "a#"})
      world_.store().Put(kind, it, Json{{"service", 5}});
  }
  AddEndpoints(1);
  PlatformStandinEndpoint& evacuated =
      world_.AddEndpoint("rondas", kStandinZones[1].zone);
  world_.store().Put("evacuations", kStandinZones[1].zone, Json::object());
  world_.PutConfig(1);
  StartHosts(2);
  for (int i = 1; i <= 2; ++i)
    EXPECT_EQ(CountReached(i), 1U);
  EXPECT_EQ(evacuated.arrivals(), 0);
  // Both are followed from then on.
  world_.store().Delete("evacuations", kStandinZones[1].zone);
  world_.PutConfig(2, "/added/");
  EXPECT_TRUE(world_.Eventually(kApplyTime, [&] {
    return StatusAt(1, RequestText("GET", "/added/1", "n")) == 200;
  }));
  endpoints_.push_back(&evacuated);
  for (int i = 1; i <= 2; ++i)
    EXPECT_TRUE(AllReachedWithin(kApplyTime, i));
}

// Incident 031. Each page with such names takes more than one call.
TEST_F(EntryNamesTest, ManyOddNamesDoNotUseUpTheReadsOfTheStore) {
  constexpr int kHosts = 3;
  const std::vector<std::string> names = NumberedNames("a&", 300);
  for (const std::string& it : names)
    world_.store().Put("servers", it, Json{{"service", 5}});
  AddEndpoints(4);
  int version = 0;
  for (const size_t reads : {20, 5}) {
    for (const size_t page_size : {1, 5}) {
      SCOPED_TRACE(reads);
      SCOPED_TRACE(page_size);
      world_.store().set_page_size(page_size);
      world_.store().set_max_reads_per_second(reads);
      world_.PutConfig(++version);
      StartHosts(kHosts);
      for (int i = 1; i <= kHosts; ++i)
        EXPECT_TRUE(AllReachedWithin(kApplyTime, i));
      KillHosts(kHosts);
      world_.store().set_max_reads_per_second(0);
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
  EXPECT_TRUE(AllReachedWithin(kApplyTime, kHosts + 1)) << LogOf(kHosts + 1);
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

// Incident 031. No way to go on is valid in this store.
TEST_F(EntryNamesTest, HostThatStartsLearnsFromOthersWhatItsListsLack) {
  constexpr int kHosts = 3;
  AddEndpoints(4);
  world_.PutConfig(1);
  StartHosts(kHosts);
  for (int i = 1; i <= kHosts; ++i)
    EXPECT_TRUE(AllReachedWithin(kApplyTime, i));
  StandinListRules rules;
  rules.page_size = 2;
  rules.name_reading = StandinNameReading::kRefused;
  rules.unknown_name = StandinUnknownName::kRefused;
  world_.store().set_list_rules(rules);
  for (const char* it : {"i-2&", "i-2+", "i-2#"})
    world_.store().Put("servers", it, Json{{"service", 5}});
  for (int i = 0; i < 4; ++i) {
    world_.StartGateway(kHosts + 1);
    ASSERT_TRUE(world_.WaitReady(kHosts + 1));
    EXPECT_TRUE(AllReachedWithin(kApplyTime, kHosts + 1)) << LogOf(kHosts + 1);
    world_.Signal(kHosts + 1, SIGKILL);
    ASSERT_TRUE(world_.WaitEnd(kHosts + 1, seconds(2)));
  }
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
