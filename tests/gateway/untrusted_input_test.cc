// Tests that invalid input from other parties affects only the object or
// request it belongs to: invalid registry entries, refusals that are sent
// twice, truncated heads of answers.

#include <gtest/gtest.h>
#include <signal.h>

#include <set>

#include "gateway/gateway_fixture.h"

namespace sassafras {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

using UntrustedInputTest = GatewayTest;

constexpr milliseconds kUpdateTimeout{3000};

struct InvalidEntry {
  const char* name;
  std::string text;
};

// Text of an endpoint's record in the store, with `field` set to the JSON text
// `value`.
std::string RecordText(const std::string& field, const std::string& value) {
  std::string text =
      R"({"service":"rondas","address":"127.9.9.9:80","zone":"cuyo-a",)"
      R"("slots":4,"state":"ready","born":1)";
  const size_t at = text.find('"' + field + '"');
  if (at == std::string::npos)
    return text + ",\"" + field + "\":" + value + "}";
  const size_t begin = text.find(':', at) + 1;
  const size_t end = std::min(text.find(",\"", begin), text.size());
  return text.replace(begin, end - begin, value) + "}";
}

std::string NestedObjects(size_t depth) {
  std::string text;
  for (size_t i = 0; i < depth; ++i)
    text += R"({"a":)";
  return text + "1" + std::string(depth, '}');
}

std::vector<InvalidEntry> InvalidEntries() {
  constexpr size_t kDepth = 100'000;
  return {
      {"deeply nested arrays",
       RecordText("more",
                  std::string(kDepth, '[') + "1" + std::string(kDepth, ']'))},
      {"deeply nested objects", NestedObjects(20'000)},
      {"unknown field out of the range of a double",
       RecordText("more", "1e999")},
      {"slots out of the range of a double", RecordText("slots", "1e999")},
      {"slots out of the range of an integer", RecordText("slots", "-1e300")},
      {"start time out of range", RecordText("born", "1e300")},
      {"start time of 400 digits", RecordText("born", std::string(400, '9'))},
      {"warm-up time out of range", RecordText("cold-remaining-s", "1e300")},
      {"port out of range", RecordText("address", "\"127.9.9.9:70000\"")},
      {"negative port", RecordText("address", "\"127.9.9.9:-1\"")},
      {"invalid UTF-8", RecordText("more", "\"\xff\xfe\"")},
      {"array in place of an object", "[1]"},
  };
}

// An invalid entry must neither end the host's process nor hide valid entries
// that are written before or after it, whether the host reads it from a watch
// or from a list at its start.
TEST_F(UntrustedInputTest, InvalidRegistryEntryDoesNotHideOthers) {
  StartOne();
  int n = 0;
  for (const InvalidEntry& it : InvalidEntries()) {
    SCOPED_TRACE(it.name);
    // These names sort before and after the valid entries in the list.
    world_.store().PutRawText("servers", "a-odd", it.text);
    world_.store().PutRawText("servers", "z-odd", it.text);
    endpoints_.push_back(&world_.AddEndpoint("rondas"));
    PlatformStandinEndpoint& added = *endpoints_.back();
    EXPECT_TRUE(world_.Eventually(kUpdateTimeout, [&] {
      ++n;
      Status(RequestText("GET", "/read/" + std::to_string(n),
                         "o" + std::to_string(n)));
      return !added.runs().empty();
    }));
    const bool has_ended = world_.HasExited(1);
    EXPECT_FALSE(has_ended);
    if (has_ended) {
      world_.StartGateway(1);
      world_.WaitReady(1);
    }
    // A second host reads the entry from a list, at its start.
    world_.StartGateway(2);
    EXPECT_TRUE(world_.WaitReady(2));
    EXPECT_EQ(
        StatusAt(2, RequestText("GET", "/read/1", "p" + std::to_string(n))),
        200);
    const bool has_other_ended = world_.HasExited(2);
    EXPECT_FALSE(has_other_ended);
    if (!has_other_ended) {
      world_.Signal(2, SIGKILL);
      world_.WaitEnd(2, seconds(2));
    }
    address_ = world_.CallerAddressOf(1);
    world_.store().Delete("servers", "a-odd");
    world_.store().Delete("servers", "z-odd");
  }
}

// A list must be read to its end even if one of its pages has only invalid
// entries.
TEST_F(UntrustedInputTest, ContinuesAfterPageOfInvalidEntries) {
  world_.store().set_page_size(2);
  for (int i = 0; i < 5; ++i)
    world_.store().PutRawText("servers", "a-odd-" + std::to_string(i),
                              "\"\xff\"");
  StartOne(3);
  std::set<std::string> seen;
  for (int i = 0; i < 60 && seen.size() < 3; ++i) {
    Status(RequestText("GET", "/read/" + std::to_string(i),
                       "q" + std::to_string(i),
                       "Cookie: Affinity-Key=" + std::to_string(i) + "\r\n"));
    for (size_t k = 0; k < endpoints_.size(); ++k) {
      if (!endpoints_[k]->runs().empty())
        seen.insert(std::to_string(k));
    }
  }
  EXPECT_EQ(seen.size(), 3U);
}

// Guards against taking a refusal that an endpoint sends twice, or without a
// request id, for the answer to the current request: callers were then told
// "not run" although the request had run, or it ran on a second endpoint as
// well.
TEST_F(UntrustedInputTest, RepeatedRefusalDoesNotAffectNextRequest) {
  StartOne(2);
  WaitUntilHostsAreKnown();
  int n = 0;
  for (const StandinBehavior act : {StandinBehavior::kShedWithoutRequestId,
                                    StandinBehavior::kRepeatLastRefusal}) {
    for (const char* method : {"GET", "POST"}) {
      SCOPED_TRACE(std::string(method) + std::to_string(static_cast<int>(act)));
      const std::string path =
          std::string(method) == "GET" ? "/read/1" : "/charge/1";
      // Each idle connection to an endpoint then has a refusal to repeat.
      SetAct(StandinBehavior::kShed);
      EXPECT_EQ(Status(RequestText(method, path, "s" + std::to_string(++n))),
                503);
      SetAct(act);
      const size_t before = CountRuns();
      EXPECT_EQ(Status(RequestText(method, path, "t" + std::to_string(++n))),
                200);
      EXPECT_EQ(CountRuns() - before, 1U);
      Wait(milliseconds(1200));
    }
  }
}

// If a refused request were sent again on the same connection, answers to the
// two tries could not be told apart.
TEST_F(UntrustedInputTest, DoesNotResendRefusedRequestToSameEndpoint) {
  StartOne(1);
  WaitUntilHostsAreKnown();
  SetAct(StandinBehavior::kShed);
  EXPECT_EQ(Status(RequestText("GET", "/read/1", "u1")), 503);
  EXPECT_EQ(endpoints_[0]->arrivals(), 1);
}

// Guards against forwarding an answer whose head was cut off: callers got
// status 200 with an empty or truncated body that looked complete.
TEST_F(UntrustedInputTest, TruncatedHeadIsNotForwarded) {
  constexpr int kEndpoints = 8;
  StartOne(kEndpoints);
  int n = 0;
  for (const StandinBehavior act : {StandinBehavior::kTruncatedHead,
                                    StandinBehavior::kTruncatedChunkedHead}) {
    // The endpoint's head size is known after one request.
    SetAct(act);
    Status(RequestText("POST", "/charge/1", "v0"));
    size_t size = 0;
    for (const PlatformStandinEndpoint* it : endpoints_)
      size = std::max(size, it->head_size());
    ASSERT_GT(size, 0U);
    for (size_t cut = 0; cut <= size; cut += cut + 6 < size ? 6 : 1) {
      SCOPED_TRACE(cut);
      const std::string id = "v" + std::to_string(++n);
      // Lets every second request use an idle connection to the endpoint.
      SetAct(StandinBehavior::kAnswer);
      if (n % 2 == 0)
        Status(RequestText("POST", "/charge/" + id, id + "k"));
      SetAct(act);
      for (PlatformStandinEndpoint* it : endpoints_)
        it->set_head_bytes_sent(cut);
      const auto caller = Connect();
      caller->Send(RequestText("POST", "/charge/" + id, id));
      world_.RunUntil(kAnswerTimeout, [&] {
        return !caller->answers().empty() || caller->is_closed();
      });
      ASSERT_FALSE(caller->answers().empty());
      EXPECT_GE(caller->answers()[0].head.status, 500);
      Wait(milliseconds(150));
    }
  }
}

// Guards against forwarding an answer without a length as complete although its
// connection was reset while the gateway was still sending the request.
TEST_F(UntrustedInputTest, UnframedAnswerThatIsResetIsNotForwarded) {
  constexpr size_t kUploadBytes = 4 << 20;
  StartOne(2);
  for (PlatformStandinEndpoint* it : endpoints_)
    it->UseSmallSocketBuffers();
  for (PlatformStandinEndpoint* it : endpoints_) {
    it->set_raw_answer([](const std::string& id) {
      return FormatAnswerHead(200, {{"Request-Id", id},
                                    {"Server-Seal", "seal-" + id},
                                    {"Connection", "close"}}) +
             "half of the answer";
    });
  }
  SetAct(StandinBehavior::kEarlyRawAnswerAndReset);
  for (int i = 0; i < 5; ++i) {
    const std::string id = "w" + std::to_string(i);
    EXPECT_EQ(Status(RequestText("POST", "/upload/" + id, id, "",
                                 std::string(kUploadBytes, 'u'))),
              502);
    Wait(milliseconds(600));
  }
  EXPECT_GT(CountRuns(), 0U);
}

}  // namespace
}  // namespace sassafras
