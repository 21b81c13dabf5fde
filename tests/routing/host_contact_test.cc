#include "routing/host_contact.h"

#include <gtest/gtest.h>

namespace sassafras {
namespace {

using std::chrono::milliseconds;

const Time kStart = Time() + std::chrono::hours(1);

TEST(HostContactTest, HostKnowsTheStateIfItHasHeardLately) {
  struct Case {
    const char* name;
    HostPhase phase_of_other;
    milliseconds host_heard;
    milliseconds store_answered;
    milliseconds store_tried;
    uint64_t version_of_other;
    StateKnowledge expected;
  };
  constexpr milliseconds kRecent{400};
  constexpr milliseconds kLongAgo{2500};
  constexpr auto kReady = HostPhase::kReady;
  constexpr auto kLeaving = HostPhase::kLeaving;
  constexpr auto kStarting = HostPhase::kStarting;
  constexpr auto kCurrent = StateKnowledge::kCurrent;
  constexpr auto kSilent = StateKnowledge::kSilent;
  const std::vector<Case> cases = {
      {"hears hosts", kReady, kRecent, kLongAgo, kLongAgo, 7, kCurrent},
      {"hears the store", kReady, kLongAgo, kRecent, kRecent, 7, kCurrent},
      {"hears nobody", kReady, kLongAgo, kLongAgo, kRecent, 7, kSilent},
      {"woke from a freeze", kReady, kLongAgo, kLongAgo, kLongAgo, 7, kSilent},
      {"alone, store down", kLeaving, kLongAgo, kLongAgo, kRecent, 7, kCurrent},
      {"alone but for an old record", kStarting, kLongAgo, kLongAgo, kRecent, 7,
       kCurrent},
      {"alone, woke from a freeze", kLeaving, kLongAgo, kLongAgo, kLongAgo, 7,
       kSilent},
      {"another host has a newer version", kReady, kRecent, kRecent, kRecent, 8,
       StateKnowledge::kOutdated},
      {"another host has an older version", kReady, kRecent, kRecent, kRecent,
       6, kCurrent},
  };
  for (const Case& it : cases) {
    SCOPED_TRACE(it.name);
    HostMembers members;
    members.self.config_version = 7;
    HostNotice other;
    other.id = HostId("other");
    other.phase = it.phase_of_other;
    other.config_version = it.version_of_other;
    members.others[other.id] = {other, kStart, kStart, {}, {}};
    const Time now = kStart + std::chrono::seconds(10);
    const HostContact contact{true, now - it.host_heard,
                              now - it.store_answered, now - it.store_tried};
    EXPECT_EQ(NameOf(KnowledgeOfState(contact, members, now)),
              NameOf(it.expected));
    HostContact starting = contact;
    starting.is_confirmed = false;
    EXPECT_EQ(KnowledgeOfState(starting, members, now),
              StateKnowledge::kUnconfirmed);
  }
}

}  // namespace
}  // namespace sassafras
