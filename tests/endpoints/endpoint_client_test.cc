// Tests the client of endpoints against endpoints that send data without end,
// or answers that are no answers by HTTP.
#include <gtest/gtest.h>

#include "endpoints/endpoints.h"
#include "gateway/stream.h"

namespace sassafras {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const Address kEndpointAddress{"127.118.1.1", 8080};

// Accepts connections, and sends `begin` and then `more` without end on each.
class EndlessEndpoint {
 public:
  EndlessEndpoint(Loop& loop, std::string begin, const std::string& more)
      : loop_(loop), begin_(std::move(begin)) {
    constexpr size_t kBlockBytes = 16 << 10;
    while (block_.size() < kBlockBytes)
      block_ += more;
    auto listener = Listen(kEndpointAddress);
    EXPECT_TRUE(listener);
    listener_ = std::move(listener.value());
    accept_ = loop_.OnSocket(listener_.fd(), Ready::kRead,
                             [this](bool, bool) { Accept(); });
    sender_ = loop_.Every(milliseconds(1), [this] {
      for (const auto& it : streams_) {
        if (it->is_open() && it->pending() == 0) {
          it->Write(block_);
          sent_bytes_ += block_.size();
        }
      }
    });
  }

  size_t sent_bytes() const { return sent_bytes_; }

 private:
  void Accept() {
    const auto stream = Stream::Adopt(loop_, AcceptConnection(listener_));
    streams_.push_back(stream);
    stream->Start({});
    stream->Write(begin_);
  }

  Loop& loop_;
  std::string begin_;
  std::string block_;
  Socket listener_;
  std::unique_ptr<Watch> accept_;
  std::unique_ptr<Watch> sender_;
  std::vector<std::shared_ptr<Stream>> streams_;
  size_t sent_bytes_ = 0;
};

EndpointRequest MakeRequest(Duration timeout) {
  EndpointRequest request;
  request.exchange = ExchangeId(1);
  request.address = kEndpointAddress;
  request.method = "GET";
  request.target = "/read";
  request.timeout = timeout;
  return request;
}

// Guards against an endless head that is kept until the request's time limit.
TEST(EndpointClientTest, EndlessHeadsEndTheRequestEarly) {
  struct Case {
    const char* name;
    const char* begin;
    const char* more;
  };
  const std::vector<Case> cases = {
      {"no HTTP", "", "noise\r\n"},
      {"one line", "HTTP/1.1 200 OK\r\nX: ", "y"},
      {"fields", "HTTP/1.1 200 OK\r\n", "X: y\r\n"},
      {"interim answers", "", "HTTP/1.1 102 Processing\r\n\r\n"},
      {"empty lines", "", "\r\n"},
  };
  // Far more than the head of any answer.
  constexpr size_t kMaxBytes = 4 << 20;
  constexpr seconds kTimeLimit{5};
  for (const Case& it : cases) {
    SCOPED_TRACE(it.name);
    Loop loop;
    EndlessEndpoint endpoint(loop, it.begin, it.more);
    const auto client = MakeEndpointClient(loop);
    std::optional<SlotOutcome> outcome;
    client->Send(
        MakeRequest(kTimeLimit), [](const EndpointAnswer&) {},
        [&](const EndpointResult& result) {
          outcome = result.outcome;
          loop.Stop();
        });
    const auto timer =
        loop.After(kTimeLimit - seconds(1), [&] { loop.Stop(); });
    loop.Run();
    EXPECT_TRUE(outcome);
    EXPECT_LT(endpoint.sent_bytes(), kMaxBytes);
    client->Cancel(ExchangeId(1));
  }
}

// Answers each request with the same text.
class RawEndpoint {
 public:
  RawEndpoint(Loop& loop, std::string text)
      : loop_(loop), text_(std::move(text)) {
    auto listener = Listen(kEndpointAddress);
    EXPECT_TRUE(listener);
    listener_ = std::move(listener.value());
    accept_ = loop_.OnSocket(listener_.fd(), Ready::kRead, [this](bool, bool) {
      const auto stream = Stream::Adopt(loop_, AcceptConnection(listener_));
      streams_.push_back(stream);
      Stream::Handlers handlers;
      handlers.on_data = [this, stream](std::string_view) {
        stream->Write(text_);
      };
      stream->Start(std::move(handlers));
    });
  }
  ~RawEndpoint() {
    for (const auto& it : streams_)
      it->Close();
  }
  RawEndpoint(const RawEndpoint&) = delete;
  RawEndpoint& operator=(const RawEndpoint&) = delete;

 private:
  Loop& loop_;
  std::string text_;
  Socket listener_;
  std::unique_ptr<Watch> accept_;
  std::vector<std::shared_ptr<Stream>> streams_;
};

struct SeenAnswer {
  std::optional<SlotOutcome> outcome;
  bool has_head = false;
};

SeenAnswer SendTo(const std::string& answer) {
  Loop loop;
  RawEndpoint endpoint(loop, answer);
  const auto client = MakeEndpointClient(loop);
  EndpointRequest request = MakeRequest(milliseconds(700));
  request.buffer_bytes = 1 << 10;
  SeenAnswer seen;
  client->Send(
      request, [&](const EndpointAnswer&) { seen.has_head = true; },
      [&](const EndpointResult& result) {
        seen.outcome = result.outcome;
        loop.Stop();
      });
  const auto timer = loop.After(seconds(2), [&] { loop.Stop(); });
  loop.Run();
  client->Cancel(ExchangeId(1));
  return seen;
}

// Incident 031. Such an answer must not reach the caller.
TEST(EndpointClientTest, MalformedAnswerIsNotPassedOn) {
  const std::string rest = "Content-Length: 2\r\n\r\nhi";
  for (const char* it : {"000", "001", "099", "600", "999", "20", "2000"}) {
    SCOPED_TRACE(it);
    const SeenAnswer seen =
        SendTo("HTTP/1.1 " + std::string(it) + " OK\r\n" + rest);
    EXPECT_FALSE(seen.has_head);
    EXPECT_NE(seen.outcome, SlotOutcome::kAnswered);
    EXPECT_NE(seen.outcome, SlotOutcome::kFailed);
  }
  for (const char* it : {"X Y: v", "X\tY: v", "X\x01Y: v", "X : v", ": v", "X",
                         "X: a\x01z", "X: a\rb", "X\x7f: v"}) {
    SCOPED_TRACE(testing::PrintToString(it));
    for (const std::string& text :
         {std::string(it) + "\r\n" + rest,
          "Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n" +
              std::string(it) + "\r\n\r\n"}) {
      const SeenAnswer seen = SendTo("HTTP/1.1 200 OK\r\n" + text);
      EXPECT_NE(seen.outcome, SlotOutcome::kAnswered) << text;
    }
  }
  EXPECT_EQ(SendTo("HTTP/1.1 200 OK\r\nX: a\r\n b\r\n" + rest).outcome,
            SlotOutcome::kAnswered);
}

}  // namespace
}  // namespace sassafras
