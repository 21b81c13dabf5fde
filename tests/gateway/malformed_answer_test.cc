// Answers of endpoints that are no answers by HTTP, or that begin before the
// request was sent and break off, tested with a gateway process.

#include <gtest/gtest.h>

#include "gateway/gateway_fixture.h"

namespace sassafras {
namespace {

using std::chrono::milliseconds;

constexpr size_t kUploadBytes = 4 << 20;
// The gateway begins to forward a longer answer before it has it all.
constexpr size_t kMaxBufferedBytes = 64 << 10;

struct RawCase {
  const char* name;
  std::string status_line;
  std::string fields;   // Before the others.
  std::string trailer;  // If set, the answer has chunks.
};

std::string WholeBody(const std::string& id, size_t bytes) {
  std::string body = "answer to " + id + " ";
  body.resize(std::max(body.size(), bytes), '.');
  return body;
}

std::string EndpointFields(const std::string& id) {
  return "Request-Id: " + id + "\r\nServer-Seal: seal-" + id + "\r\n";
}

std::string RawText(const RawCase& raw, const std::string& id) {
  const std::string body = WholeBody(id, 0);
  const std::string head =
      raw.status_line + "\r\n" + raw.fields + EndpointFields(id);
  if (raw.trailer.empty())
    return head + "Content-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
  return head + "Transfer-Encoding: chunked\r\n\r\n" + FormatChunk(body) +
         "0\r\n" + raw.trailer + "\r\n";
}

std::vector<RawCase> MalformedAnswers() {
  const std::string ok = "HTTP/1.1 200 OK";
  std::vector<RawCase> cases = {
      {"name with a blank", ok, "X Y: v\r\n", ""},
      {"name with a tab", ok, "X\tY: v\r\n", ""},
      {"name with a control byte", ok, "X\x01Y: v\r\n", ""},
      {"name with DEL", ok, "X\x7fY: v\r\n", ""},
      {"no name", ok, ": v\r\n", ""},
      {"blank before the colon", ok, "X : v\r\n", ""},
      {"length with a blank before the colon", ok, "Content-Length : 3\r\n",
       ""},
      {"length with a control byte", ok, "Content\x01-Length: 3\r\n", ""},
      {"control byte in a value", ok, "X: a\x01z\r\n", ""},
      {"carriage return in a value", ok, "X: a\rContent-Length: 3\r\n", ""},
      {"name with a blank in the trailer", ok, "", "X Y: v\r\n"},
      {"control byte in the trailer", ok, "", "X\x01: v\r\n"},
      {"odd name behind an interim answer",
       "HTTP/1.1 103 Early Hints\r\n\r\n" + ok, "X Y: v\r\n", ""},
      {"odd name in an interim answer",
       "HTTP/1.1 103 Early Hints\r\nX Y: v\r\n\r\n" + ok, "", ""},
  };
  for (const char* it : {"000", "001", "099", "600", "999", "20", "2000"})
    cases.push_back({it, std::string("HTTP/1.1 ") + it + " OK", "", ""});
  for (const char* it : {"100 Continue", "101 Switching Protocols", "199 Odd"})
    cases.push_back({it, std::string("HTTP/1.1 ") + it, "", ""});
  cases.push_back({"status 000 behind an interim answer",
                   "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 OK", "", ""});
  return cases;
}

struct SentRequest {
  const char* name;
  const char* method;
  const char* prefix;
  size_t body_bytes;
  bool may_repeat;
};
constexpr SentRequest kRequests[] = {
    {"idempotent", "GET", "/read/", 0, true},
    {"not idempotent", "POST", "/charge/", 20, false},
    {"upload", "POST", "/upload/", 300 << 10, false},
};

std::string TextOf(const SentRequest& request, const std::string& id) {
  return RequestText(request.method, request.prefix + id, id, "",
                     std::string(request.body_bytes, 'u'));
}

class MalformedAnswerTest : public GatewayTest {
 protected:
  // Lets the endpoints keep a connection each, and count as sound.
  void AnswerWell(size_t requests) {
    SetAct(StandinBehavior::kAnswer);
    for (size_t i = 0; i < requests; ++i) {
      const std::string id = NewId();
      Status(RequestText("GET", "/read/" + id, id,
                         "Cookie: Affinity-Key=" + id + "\r\n"));
    }
  }

  std::string NewId() { return "m" + std::to_string(++ids_); }

  int ids_ = 0;
};

// Incident 031. Such an answer promises nothing: 502, at once. Only idempotent
// requests are sent again.
TEST_F(MalformedAnswerTest, IsNotPassedOnAndPromisesNothing) {
  constexpr size_t kEndpoints = 3;
  StartOne(static_cast<int>(kEndpoints));
  WaitUntilHostsAreKnown();
  for (const RawCase& raw : MalformedAnswers()) {
    for (PlatformStandinEndpoint* it : endpoints_) {
      it->set_raw_answer(
          [raw](const std::string& id) { return RawText(raw, id); });
    }
    for (const SentRequest& request : kRequests) {
      SCOPED_TRACE(std::string(raw.name) + ", " + request.name);
      AnswerWell(2 * kEndpoints);
      SetAct(StandinBehavior::kRawAnswer);
      const std::string id = NewId();
      const size_t before = CountRuns();
      EXPECT_EQ(Status(TextOf(request, id)), 502);
      const size_t runs = CountRuns() - before;
      EXPECT_GE(runs, 1U);
      EXPECT_LE(runs, request.may_repeat ? 2U : 1U);
    }
  }
}

// Incident 031.
TEST_F(MalformedAnswerTest, IdempotentRequestIsAnsweredByAnotherEndpoint) {
  StartOne(2);
  WaitUntilHostsAreKnown();
  for (const RawCase& raw : MalformedAnswers()) {
    SCOPED_TRACE(raw.name);
    AnswerWell(4);
    endpoints_[0]->set_raw_answer(
        [raw](const std::string& id) { return RawText(raw, id); });
    endpoints_[0]->set_behavior(StandinBehavior::kRawAnswer);
    for (int i = 0; i < 4; ++i) {
      const std::string id = NewId();
      EXPECT_EQ(Status(RequestText("GET", "/read/" + id, id,
                                   "Cookie: Affinity-Key=" + id + "\r\n")),
                200);
    }
  }
}

// Incident 031.
TEST_F(MalformedAnswerTest, FoldedFieldIsPassedOnAsOneLine) {
  StartOne();
  endpoints_[0]->set_raw_answer([](const std::string& id) {
    return RawText({"", "HTTP/1.1 200 OK", "X-Folded: a\r\n b\r\n", ""}, id);
  });
  SetAct(StandinBehavior::kRawAnswer);
  const auto caller = Connect();
  caller->Send(RequestText("GET", "/read/1", "f1"));
  ASSERT_TRUE(WaitAnswers(*caller, 1));
  const auto& answer = caller->answers()[0];
  EXPECT_EQ(answer.head.status, 200);
  EXPECT_EQ(answer.body, WholeBody("f1", 0));
  ASSERT_NE(FindField(answer.head.fields, "X-Folded"), nullptr);
  EXPECT_EQ(*FindField(answer.head.fields, "X-Folded"), "a b");
}

enum class Framing { kNone, kLength, kChunks };

std::string FramedText(Framing framing,
                       const std::string& id,
                       const std::string& whole_body,
                       bool is_whole) {
  const std::string head = "HTTP/1.1 200 OK\r\n" + EndpointFields(id);
  const std::string body =
      is_whole ? whole_body : whole_body.substr(0, whole_body.size() / 2);
  switch (framing) {
    case Framing::kNone:
      return head + "Connection: close\r\n\r\n" + body;
    case Framing::kLength:
      return head + "Content-Length: " + std::to_string(whole_body.size()) +
             "\r\n\r\n" + body;
    case Framing::kChunks:
      return head + "Transfer-Encoding: chunked\r\n\r\n" + FormatChunk(body) +
             (is_whole ? std::string(kLastChunk) : "");
  }
  return "";
}

// Incident 031. An answer begins while the upload is still being written, and
// its connection ends. What is passed on as whole was whole.
TEST_F(MalformedAnswerTest, EarlyAnswerThatBreaksOffIsNotPassedOnAsWhole) {
  StartOne(2);
  for (PlatformStandinEndpoint* it : endpoints_)
    it->UseSmallSocketBuffers();
  int complete = 0;
  for (const StandinBehavior end : {StandinBehavior::kEarlyRawAnswerAndReset,
                                    StandinBehavior::kEarlyRawAnswerAndClose}) {
    for (const Framing framing :
         {Framing::kNone, Framing::kLength, Framing::kChunks}) {
      for (const size_t bytes : {size_t{100}, 3 * kMaxBufferedBytes}) {
        for (const bool is_whole : {false, true}) {
          const bool resets = end == StandinBehavior::kEarlyRawAnswerAndReset;
          // A regular end makes such an answer whole.
          if (framing == Framing::kNone && !is_whole && !resets)
            continue;
          SCOPED_TRACE(testing::Message()
                       << "framing " << static_cast<int>(framing) << " bytes "
                       << bytes << " whole " << is_whole << " reset "
                       << resets);
          AnswerWell(4);
          for (PlatformStandinEndpoint* it : endpoints_) {
            it->set_raw_answer([=](const std::string& id) {
              return FramedText(framing, id, WholeBody(id, bytes), is_whole);
            });
          }
          SetAct(end);
          const std::string id = NewId();
          const size_t before = CountRuns();
          const auto caller = Connect();
          caller->Send(RequestText("POST", "/upload/" + id, id, "",
                                   std::string(kUploadBytes, 'u')));
          world_.RunUntil(kAnswerTimeout, [&] {
            return !caller->answers().empty() || caller->is_closed();
          });
          EXPECT_EQ(CountRuns() - before, 1U);
          if (caller->answers().empty())
            continue;
          const auto& answer = caller->answers()[0];
          const bool ended_whole =
              is_whole && !(framing == Framing::kNone && resets);
          if (answer.head.status == 200) {
            ++complete;
            EXPECT_TRUE(ended_whole);
            EXPECT_EQ(answer.body, WholeBody(id, bytes));
          } else {
            EXPECT_TRUE(answer.head.status == 502 || answer.head.status == 504)
                << answer.head.status;
          }
        }
      }
    }
  }
  EXPECT_GT(complete, 0);
}

}  // namespace
}  // namespace sassafras
