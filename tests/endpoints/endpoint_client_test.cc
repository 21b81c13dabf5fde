// Tests the client of endpoints against endpoints that send data without end.
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
    EndpointRequest request;
    request.exchange = ExchangeId(1);
    request.address = kEndpointAddress;
    request.method = "GET";
    request.target = "/read";
    request.timeout = kTimeLimit;
    std::optional<SlotOutcome> outcome;
    client->Send(
        request, [](const EndpointAnswer&) {},
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

}  // namespace
}  // namespace sassafras
