// Tests an exchange without a gateway process, for events that no process test
// can time: what becomes known while a connection to an endpoint is being
// established.
#include "gateway/exchange.h"

#include <gtest/gtest.h>

#include <chrono>

namespace sassafras {
namespace {

using std::chrono::milliseconds;

const ServiceId kService("s");
const ZoneId kZone("z");
const RegionId kRegion("r");

// Keeps what the exchange answers.
class RecordingSink : public ExchangeSink {
 public:
  void Send(GatewayExchange&, std::string bytes) override { sent += bytes; }
  void Finish(GatewayExchange&) override { is_finished = true; }
  void Abort(GatewayExchange&) override {}
  bool DecideClose(GatewayExchange&) override { return false; }
  void ResumeBody() override {}
  size_t UnsentBytes(const GatewayExchange&) const override { return 0; }

  std::string sent;
  bool is_finished = false;
};

// An endpoint that reads and never answers.
class SilentEndpoint {
 public:
  SilentEndpoint(Loop& loop, const Address& listen) : loop_(loop) {
    auto socket = Listen(listen);
    if (!socket)
      return;
    listener_ = std::move(*socket);
    watch_ = loop.OnSocket(listener_.fd(), Ready::kRead,
                           [this](bool, bool) { Accept(); });
  }
  size_t received() const { return received_; }
  bool is_listening() const { return watch_ != nullptr; }

 private:
  void Accept() {
    Socket socket = AcceptConnection(listener_);
    if (!socket.valid())
      return;
    streams_.push_back(Stream::Adopt(loop_, std::move(socket)));
    Stream::Handlers handlers;
    handlers.on_data = [this](std::string_view data) {
      received_ += data.size();
    };
    streams_.back()->Start(std::move(handlers));
  }

  Loop& loop_;
  Socket listener_;
  std::unique_ptr<Watch> watch_;
  std::vector<std::shared_ptr<Stream>> streams_;
  size_t received_ = 0;
};

EndpointRecord MakeRecord(const Address& address) {
  EndpointRecord record;
  record.id = EndpointId("a");
  record.service = kService;
  record.address = address;
  record.zone = kZone;
  record.region = kRegion;
  record.started_at_ms = 1;
  return record;
}

std::shared_ptr<const SteeringConfig> MakeConfig(
    const std::vector<RegionId>& homes = {},
    const ServiceId& service = kService) {
  auto config = std::make_shared<SteeringConfig>();
  RequestRoute route;
  route.name = "r";
  route.path_prefix = "/";
  route.home_regions = homes;
  route.traffic_shares = {{service, 1.0}};
  config->hosts["h"] = {route};
  SortRoutes(*config);
  return config;
}

class ExchangeTest : public testing::Test {
 protected:
  ExchangeTest() : state_(loop_, {}), endpoint_(loop_, kAddress) {
    state_.config = MakeConfig();
    ApplyRecord(state_.endpoints, MakeRecord(kAddress), loop_.Now());
  }

  void RunFor(milliseconds time) {
    const auto timer = loop_.After(time, [this] { loop_.Stop(); });
    loop_.Run();
  }

  static inline const Address kAddress{"127.118.1.1", 8080};
  Loop loop_;
  GatewayState state_;
  SilentEndpoint endpoint_;
};

TEST_F(ExchangeTest, RequestIsWithheldIfItsEndpointMayGetNoneOnceConnected) {
  struct Case {
    const char* name;
    std::function<void(EndpointSet&, Time)> change;
    bool is_sent;
    // In effect from then on; null: no new one.
    std::shared_ptr<const SteeringConfig> config = nullptr;
  };
  const auto nothing = [](EndpointSet&, Time) {};
  const std::vector<Case> cases = {
      {"nothing changes", nothing, true},
      {"its region becomes the home", nothing, true, MakeConfig({kRegion})},
      {"its region becomes the home, and the host was frozen",
       [this](EndpointSet&, Time now) {
         state_.freshness.active_at = now - std::chrono::seconds(2);
       },
       false, MakeConfig({kRegion})},
      {"another region becomes the home", nothing, false,
       MakeConfig({RegionId("elsewhere")})},
      {"the route goes to another service", nothing, false,
       MakeConfig({}, ServiceId("other"))},
      {"it says that it is leaving",
       [](EndpointSet& set, Time now) {
         OnLeaving(set, set.by_id.at(EndpointId("a"))->incarnation, now, now);
       },
       false},
      {"its record says that it drains",
       [](EndpointSet& set, Time now) {
         EndpointRecord record = MakeRecord(kAddress);
         record.draining = true;
         ApplyRecord(set, record, now);
       },
       false},
      {"its record is removed",
       [](EndpointSet& set, Time now) {
         ApplyRemoval(set, EndpointId("a"), now);
       },
       false},
      {"its zone is evacuated",
       [](EndpointSet& set, Time) { SetEvacuated(set, kZone); }, false},
  };
  ASSERT_TRUE(endpoint_.is_listening());
  for (const Case& it : cases) {
    SCOPED_TRACE(it.name);
    state_.config = MakeConfig();
    state_.freshness.active_at = loop_.Now();
    state_.freshness.confirmed_at = loop_.Now();
    state_.endpoints = {};
    ApplyRecord(state_.endpoints, MakeRecord(kAddress), loop_.Now());
    // Otherwise the request would be held back as one that crashes endpoints.
    state_.crashes = {};
    const size_t before = endpoint_.received();
    const auto sink = std::make_shared<RecordingSink>();
    HttpHead head;
    head.method = "GET";
    head.target = "/x";
    head.fields = {{"Host", "h"}, {"Request-Id", "id"}};
    const auto exchange =
        std::make_shared<GatewayExchange>(state_, sink, head, loop_.Now());
    exchange->Begin();
    it.change(state_.endpoints, loop_.Now());
    if (it.config)
      state_.config = it.config;
    RunFor(milliseconds(100));
    EXPECT_EQ(endpoint_.received() > before, it.is_sent);
    EXPECT_EQ(sink->is_finished, !it.is_sent);
    EXPECT_EQ(sink->sent.rfind("HTTP/1.1 503 ", 0) == 0, !it.is_sent)
        << sink->sent;
    exchange->OnCallerGone();
  }
}

}  // namespace
}  // namespace sassafras
