// Lists of stores that differ in what the platform's documentation leaves open,
// each read with every combination of these rules.

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "routing/list_confirmation.h"
#include "routing/object_names.h"

namespace sassafras {
namespace {

// How the store treats the name in a call for a page.
enum class NameRule { kTaken, kRefused, kUnavailable, kLost, kEnds, kRestarts };
constexpr NameRule kNameRules[] = {NameRule::kTaken,       NameRule::kRefused,
                                   NameRule::kUnavailable, NameRule::kLost,
                                   NameRule::kEnds,        NameRule::kRestarts};

enum class Order { kByBytes, kDescending, kIgnoringPunctuation, kByHash };
constexpr Order kOrders[] = {Order::kByBytes, Order::kDescending,
                             Order::kIgnoringPunctuation, Order::kByHash};

struct ModelStore {
  std::set<std::string> names;
  std::set<std::string> nameless;
  Order order = Order::kByBytes;
  NameRule other_names = NameRule::kTaken;    // Those that are not plain.
  NameRule unknown_names = NameRule::kTaken;  // Those that no object has.
  bool continues_only_after_pages = false;
  size_t page_size = 1;
  std::set<std::string> page_ends;
};

std::string SortKey(Order order, const std::string& name) {
  std::string key;
  if (order == Order::kDescending) {
    for (const char c : name)
      key += static_cast<char>(~c);
    return key + '\xff';
  }
  if (order == Order::kIgnoringPunctuation) {
    for (const char c : name) {
      if (std::isalnum(static_cast<unsigned char>(c)) != 0)
        key += c;
    }
  }
  if (order == Order::kByHash) {
    uint32_t hash = 1;
    for (const char c : name)
      hash = (hash ^ static_cast<unsigned char>(c)) * 16777619U;
    key = std::to_string(hash);
  }
  return key + '\0' + name;
}

ListStep AnswerPage(ModelStore& store, ConfirmedList& list) {
  const std::string& after = list.reading.after;
  NameRule rule = NameRule::kTaken;
  if (!after.empty() && !IsPlainName(after))
    rule = store.other_names;
  else if (!after.empty() && store.names.count(after) == 0)
    rule = store.unknown_names;
  if (rule == NameRule::kTaken && store.continues_only_after_pages &&
      !after.empty() && store.page_ends.count(after) == 0)
    rule = NameRule::kRefused;
  if (rule == NameRule::kRefused)
    return ConfirmList(list, OnUnreadablePage(list.reading));
  if (rule == NameRule::kUnavailable || rule == NameRule::kLost) {
    return ConfirmList(
        list, OnFailedPageCall(list.reading, rule == NameRule::kLost
                                                 ? PageFailure::kLost
                                                 : PageFailure::kUnavailable));
  }
  std::vector<std::string> ordered(store.names.begin(), store.names.end());
  std::sort(ordered.begin(), ordered.end(), [&](const auto& a, const auto& b) {
    return SortKey(store.order, a) < SortKey(store.order, b);
  });
  ListPage page;
  page.as_of = {0, 9};
  if (rule == NameRule::kEnds)
    return ConfirmList(list,
                       OnPage(list.reading, page, ListFreshness::kCurrent));
  const std::string begin =
      after.empty() || rule == NameRule::kRestarts ? "" : after;
  size_t n = 0;
  for (const std::string& it : ordered) {
    if (!begin.empty() &&
        SortKey(store.order, it) <= SortKey(store.order, begin))
      continue;
    if (n == store.page_size) {
      page.has_more = true;
      break;
    }
    ++n;
    store.page_ends.insert(it);
    if (store.nameless.count(it) > 0)
      continue;
    page.objects.push_back({"k", it, 3, "{}"});
    page.last_name = it;
  }
  return ConfirmList(list, OnPage(list.reading, page, ListFreshness::kCurrent));
}

struct Outcome {
  ListStep step = ListStep::kFailed;
  std::set<std::string> names;
  int calls = 0;
};

Outcome Read(ModelStore store, std::set<std::string> known_names) {
  ConfirmedList list = BeginList(std::move(known_names), {});
  Outcome out;
  out.step = ListStep::kReadOn;
  while (out.step != ListStep::kWhole && out.step != ListStep::kPartial &&
         out.calls < 1000) {
    ++out.calls;
    if (out.step != ListStep::kReadObject) {
      out.step = AnswerPage(store, list);
      continue;
    }
    StoreReply reply;
    const std::string& name = list.reading.next_object;
    reply.status = StoreStatus::kNotFound;
    if (store.names.count(name) > 0) {
      reply.status = StoreStatus::kOk;
      reply.objects.push_back({"k", name, 3, "{}"});
    }
    out.step = ConfirmList(list, OnObject(list.reading, reply));
  }
  for (const StoreObject& it : list.reading.objects)
    out.names.insert(it.name);
  return out;
}

const std::vector<std::set<std::string>> kOddNames = {
    {"a&"},
    {"i-1&", "i-2 "},
    {"i-2\xc3\xa9", "z%"},
    {"!", "a b", "a+b", "a#b", "i-1/", "i-10%", "i-1b&", "j\xff", "~\x7f"}};
const std::set<std::string> kPlainNames = {"c-7",  "i-1", "i-10",
                                           "i-1b", "i-2", "x"};

void ForEachStore(const std::function<void(const ModelStore&)>& play) {
  for (const auto& odd_names : kOddNames) {
    for (const Order order : kOrders) {
      for (const NameRule other : kNameRules) {
        for (const NameRule unknown : kNameRules) {
          for (const bool only_after_pages : {false, true}) {
            for (const size_t page_size : {1, 2, 3, 5, 20}) {
              ModelStore store;
              store.names = kPlainNames;
              store.names.insert(odd_names.begin(), odd_names.end());
              store.order = order;
              store.other_names = other;
              store.unknown_names = unknown;
              store.continues_only_after_pages = only_after_pages;
              store.page_size = page_size;
              SCOPED_TRACE(testing::PrintToString(*odd_names.begin()));
              SCOPED_TRACE(static_cast<int>(order));
              SCOPED_TRACE(static_cast<int>(other));
              SCOPED_TRACE(static_cast<int>(unknown));
              SCOPED_TRACE(only_after_pages);
              SCOPED_TRACE(page_size);
              play(store);
            }
          }
        }
      }
    }
  }
}

bool ShowsAllPlainNames(const Outcome& out) {
  return std::includes(out.names.begin(), out.names.end(), kPlainNames.begin(),
                       kPlainNames.end());
}

// Incident 031. Some way to go on is valid in each of these stores.
TEST(ListStoresTest, StoresThatCanBeReadAreReadToTheirEnd) {
  ForEachStore([](const ModelStore& store) {
    const bool takes_written_names = store.other_names == NameRule::kTaken;
    const bool takes_next_names = store.unknown_names == NameRule::kTaken &&
                                  store.order == Order::kByBytes &&
                                  !store.continues_only_after_pages;
    if (!takes_written_names && !takes_next_names)
      return;
    const Outcome out = Read(store, {});
    EXPECT_TRUE(ShowsAllPlainNames(out));
    EXPECT_LE(out.calls, 100);
    EXPECT_TRUE(out.step == ListStep::kWhole || !takes_written_names);
  });
}

// Incident 031. A whole list removes cached objects that it lacks.
TEST(ListStoresTest, NoListIsWholeThatLacksAKnownObject) {
  ForEachStore([](const ModelStore& store) {
    const Outcome out = Read(store, kPlainNames);
    EXPECT_TRUE(out.step == ListStep::kPartial ||
                (out.step == ListStep::kWhole && ShowsAllPlainNames(out)));
    EXPECT_LE(out.calls, 120);
  });
}

// Incident 031.
TEST(ListStoresTest, ObjectsBehindPagesWithoutNamesAreFound) {
  for (const char* begin : {"a", "i-1", "i-1c", "i-2", "w", "z"}) {
    for (const size_t page_size : {1, 2, 3}) {
      SCOPED_TRACE(begin);
      SCOPED_TRACE(page_size);
      ModelStore store;
      store.page_size = page_size;
      store.names = kPlainNames;
      for (const char* end : {"p\xff", "q&", "r ", "s\x01"})
        store.nameless.insert(std::string(begin) + end);
      store.names.insert(store.nameless.begin(), store.nameless.end());
      // Close behind them.
      const std::string next = std::string(begin) + "s-5";
      store.names.insert(next);
      const Outcome out = Read(store, {});
      EXPECT_EQ(out.step, ListStep::kPartial);
      EXPECT_EQ(out.names.count(next), 1U);
      EXPECT_TRUE(ShowsAllPlainNames(out));
      EXPECT_LE(out.calls, 100);
    }
  }
}

// Incident 031. Objects that are needed by their names need no list.
TEST(ListStoresTest, ExpectedObjectsOfAPartialListAreRead) {
  ModelStore store;
  store.names = {"a&", "main"};
  store.other_names = NameRule::kRefused;
  store.unknown_names = NameRule::kRefused;
  ConfirmedList list = BeginList({}, {"main", "other"});
  std::set<std::string> objects_read;
  ListStep step = AnswerPage(store, list);
  while (step == ListStep::kReadOn || step == ListStep::kReadObject) {
    if (step == ListStep::kReadOn) {
      step = AnswerPage(store, list);
      continue;
    }
    const std::string name = list.reading.next_object;
    objects_read.insert(name);
    StoreReply reply;
    reply.status = StoreStatus::kNotFound;
    if (name == "main") {
      reply.status = StoreStatus::kOk;
      reply.objects.push_back({"k", name, 3, "{}"});
    }
    step = ConfirmList(list, OnObject(list.reading, reply));
  }
  EXPECT_EQ(step, ListStep::kPartial);
  EXPECT_EQ(objects_read.count("main"), 1U);
  EXPECT_EQ(objects_read.count("other"), 1U);
  EXPECT_EQ(list.reading.objects.back().name, "main");
}

}  // namespace
}  // namespace sassafras
