#include "routing/object_names.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <iterator>
#include <string>
#include <vector>

namespace sassafras {
namespace {

TEST(ObjectNamesTest, PlainNamesHoldUnreservedCharactersOnly) {
  for (const char* it : {"i-1", "~", "...", ".a", "A_b.c~9"})
    EXPECT_TRUE(IsPlainName(it)) << it;
  for (const char* it : {"", ".", "..", "a b", "a&", "a+", "a#", "a%20", "a/b",
                         "\xc3\xa9", "a\n"})
    EXPECT_FALSE(IsPlainName(it)) << it;
  EXPECT_TRUE(IsPlainName(std::string(kMaxPlainNameBytes, 'a')));
  EXPECT_FALSE(IsPlainName(std::string(kMaxPlainNameBytes + 1, 'a')));
}

TEST(ObjectNamesTest, NextPlainNameIsTheFirstOneBehind) {
  struct Case {
    std::string name;
    std::string next;
  };
  const std::string longest(kMaxPlainNameBytes, 'a');
  const std::string all_last(kMaxPlainNameBytes, '~');
  const std::vector<Case> cases = {
      {"", "-"},
      {"i-1", "i-1-"},
      {"i-1 b", "i-1-"},
      {"&", "-"},
      {"i-1/9", "i-10"},
      {"i-1:", "i-1A"},
      {"i-1[", "i-1_"},
      {"i-1`", "i-1a"},
      {"i-1{", "i-1~"},
      {"i-1\x7f", "i-2"},
      {"i-1\xc3\xa9", "i-2"},
      {"i-9\xff", "i-A"},
      {"i~\xff", "j"},
      {".", ".-"},
      {"-\xff", ".-"},
      {".-\xff", "..-"},
      {longest + "b", longest.substr(1) + "b"},
      {longest + "\xff", longest.substr(1) + "b"},
      {"a" + all_last + "~", "b"},
  };
  for (const Case& it : cases) {
    SCOPED_TRACE(testing::PrintToString(it.name));
    const auto next = NextPlainName(it.name);
    ASSERT_TRUE(next);
    EXPECT_EQ(*next, it.next);
    EXPECT_TRUE(IsPlainName(*next));
    EXPECT_LT(it.name, *next);
  }
  for (const std::string it : {"~~\x7f", "\xc3\xa9", "\xff"})
    EXPECT_FALSE(NextPlainName(it)) << testing::PrintToString(it);
  EXPECT_FALSE(NextPlainName(all_last + "~"));
}

// No plain name stands between, so that none is skipped. All names of up to
// three characters of a small alphabet.
TEST(ObjectNamesTest, NoPlainNameStandsBetween) {
  const std::string alphabet = "!&-.09:A`a~\xc3";
  std::vector<std::string> names = {""};
  for (size_t i = 0; i < names.size() && names[i].size() < 3; ++i) {
    for (const char c : alphabet)
      names.push_back(names[i] + c);
  }
  std::vector<std::string> plain;
  std::copy_if(names.begin(), names.end(), std::back_inserter(plain),
               IsPlainName);
  for (const std::string& name : names) {
    const auto next = NextPlainName(name);
    for (const std::string& it : plain)
      EXPECT_TRUE(it <= name || (next && it >= *next)) << name << " " << it;
  }
}

// Incident 031.
TEST(ObjectNamesTest, NamesBehindANameAscend) {
  for (const std::string& it :
       {std::string(), std::string("i-1"), std::string("i-1&"),
        std::string("~"), std::string("-"), std::string("."),
        std::string(kMaxPlainNameBytes, 'x')}) {
    SCOPED_TRACE(it);
    const auto names = PlainNamesBehind(it);
    EXPECT_LT(names.size(), 5000U);
    EXPECT_TRUE(std::is_sorted(names.begin(), names.end()));
    EXPECT_EQ(std::adjacent_find(names.begin(), names.end()), names.end());
    for (const std::string& name : names) {
      EXPECT_GT(name, it);
      EXPECT_TRUE(IsPlainName(name));
    }
  }
  const auto names = PlainNamesBehind("i-1");
  EXPECT_EQ(names.front(), "i-1-");
  EXPECT_EQ(names.back(), "~");
  EXPECT_EQ(std::count(names.begin(), names.end(), "i-2"), 1);
  EXPECT_TRUE(PlainNamesBehind("~\xff").empty());
}

}  // namespace
}  // namespace sassafras
