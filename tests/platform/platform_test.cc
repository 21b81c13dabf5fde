// Tests the decoding and encoding of the platform's settings file, store
// objects and HTTP fields. Malformed input must give an error that names the
// faulty field.

#include "platform/platform.h"

#include <gtest/gtest.h>

#include <random>

#include "routing/home_regions.h"

namespace sassafras::platform {
namespace {

constexpr char kSettings[] =
    "node=front-a-1\nrole=r\nip=10.1.0.35\nzone=cuyo-a\nregion=cuyo\n"
    "zones.cuyo-a=cuyo\nzones.pampa-a=pampa\nlisten.front=10.1.0.35:8144\n"
    "listen.ready=10.1.0.35:8140\nlisten.control=10.1.0.35:8146\n"
    "listen.directory=10.1.0.35:8143\ninternal-ports=7660,7675\n"
    "seeds=10.1.0.35:8146,10.2.0.28:8146\nlimits.cpu-share=0.14\n"
    "bounds=grace-s=6,retry-budget-ratio=0.2,retry-budget-slack=124,"
    "budget-window-s=10,ttl_max_s=5\nplatform.address=10.200.1.7:8142\n"
    "some.new-field=what,ever\n";

GatewaySettings ParseSettingsText(const std::string& text, std::string& error) {
  return TryOr([&] { return ParseSettings(text, "boot.conf"); },
               [&](const Error& e) {
                 error = e.ToString();
                 return GatewaySettings();
               });
}

TEST(PlatformSettingsTest, ReadsFields) {
  std::string error;
  const GatewaySettings settings = ParseSettingsText(kSettings, error);
  EXPECT_EQ(error, "");
  EXPECT_EQ(settings.host, HostId("front-a-1"));
  EXPECT_EQ(settings.caller_address.port, 8144);
  EXPECT_EQ(settings.regions.at(ZoneId("pampa-a")), RegionId("pampa"));
  EXPECT_EQ(settings.seed_ips.size(), 2U);
  EXPECT_EQ(settings.gossip_port, 7660);
  EXPECT_DOUBLE_EQ(settings.retry_bound.slack, 124);
  EXPECT_EQ(settings.stop_timeout, std::chrono::seconds(6));
}

TEST(PlatformSettingsTest, ErrorsNameFileLineAndField) {
  struct Case {
    const char* from;
    const char* to;
    const char* expected;
  };
  const std::vector<Case> cases = {
      {"zone=cuyo-a\n", "", "zone: is missing"},
      {"listen.front=10.1.0.35:8144", "listen.front=here",
       "boot.conf:8: bad_input: listen.front: is not an address: here"},
      {"limits.cpu-share=0.14", "limits.cpu-share=much",
       "boot.conf:14: bad_input: limits.cpu-share: is not a number: much"},
      {"grace-s=6", "grace-s=six",
       "boot.conf:15: bad_input: bounds.grace-s: is not a number: six"},
      {"internal-ports=7660,7675", "internal-ports=x",
       "internal-ports: is not a list of ports"},
  };
  for (const Case& it : cases) {
    SCOPED_TRACE(it.expected);
    std::string text = kSettings;
    text.replace(text.find(it.from), std::string(it.from).size(), it.to);
    std::string error;
    ParseSettingsText(text, error);
    EXPECT_NE(error.find(it.expected), std::string::npos) << error;
  }
}

StoreObject MakeEndpointObject(const std::string& value) {
  return {kEndpointKind, "i-1", 5, value};
}

constexpr char kEndpointJson[] =
    R"({"service":"s","address":"10.0.0.1:80","zone":"cuyo-a","version":"v1",)"
    R"("slots":4,"state":"ready","cold-remaining-s":1.5,"sequence":4,)"
    R"("born":1234567890123})";

std::optional<EndpointRecord> DecodeEndpointText(const std::string& value,
                                                 std::string& error) {
  const std::map<ZoneId, RegionId> regions = {
      {ZoneId("cuyo-a"), RegionId("cuyo")}};
  return TryOr(
      [&]() -> Result<std::optional<EndpointRecord>> {
        BOOST_LEAF_AUTO(it, DecodeEndpoint(MakeEndpointObject(value), regions));
        return std::optional<EndpointRecord>(it);
      },
      [&](const Error& e) {
        error = e.ToString();
        return std::optional<EndpointRecord>();
      });
}

TEST(PlatformObjectsTest, DecodesEndpoint) {
  std::string error;
  const auto record = DecodeEndpointText(kEndpointJson, error);
  ASSERT_TRUE(record) << error;
  EXPECT_EQ(record->id, EndpointId("i-1"));
  EXPECT_EQ(record->region, RegionId("cuyo"));
  EXPECT_EQ(record->slots, 4);
  EXPECT_EQ(record->warmup_left, std::chrono::milliseconds(1500));
  EXPECT_EQ(record->started_at_ms, 1234567890123);
  EXPECT_FALSE(record->draining);
}

TEST(PlatformObjectsTest, RejectsMalformedEndpoints) {
  struct Case {
    const char* from;
    const char* to;
    const char* field;
  };
  const std::vector<Case> cases = {
      {R"("service":"s",)", "", "service"},
      {R"("service":"s")", R"("service":7)", "service"},
      {R"("address":"10.0.0.1:80")", R"("address":"nowhere")", "address"},
      {R"("state":"ready")", R"("state":"asleep")", "state"},
      {R"("slots":4)", R"("slots":"four")", "slots"},
      {R"("zone":"cuyo-a")", R"("zone":[])", "zone"},
      {R"("cold-remaining-s":1.5)", R"("cold-remaining-s":"soon")",
       "cold-remaining-s"},
      {kEndpointJson, R"([1,2])", "specification"},
      {kEndpointJson, "\xff\xfe", "specification"},
  };
  for (const Case& it : cases) {
    SCOPED_TRACE(it.to);
    std::string value = kEndpointJson;
    value.replace(value.find(it.from), std::string(it.from).size(), it.to);
    std::string error;
    EXPECT_FALSE(DecodeEndpointText(value, error));
    EXPECT_NE(error.find(it.field), std::string::npos) << error;
    EXPECT_NE(error.find("i-1"), std::string::npos) << error;
  }
}

constexpr char kConfigJson[] =
    R"({"version":"r7","services":[{"name":"a","health-path":"/health",)"
    R"("max-connections":660,"cold-start-s":3.0,"cold-per-s":6.9},{"name":"b"}],)"
    R"("limits":{"header-bytes":16384,"body-bytes":1024,"header-timeout-s":3,)"
    R"("idle-timeout-s":15},"base-version":"r5","hosts":[{"host":"h.example",)"
    R"("paths":[{"name":"r1","path-prefix":"/x/","route-type":"non_idempotent",)"
    R"("timeout-s":2.5,"target-latency-s":0.3,"priority":1,"service":"a",)"
    R"("max-attempts":2,"sticky-session":true,"home-regions":["cuyo"]},)"
    R"({"name":"r2","path-prefix":"/x/y/","route-type":"upload","timeout-s":2,)"
    R"("traffic-split":[{"service":"a","weight":90},{"service":"b","weight":10}]}]}]})";

SteeringConfig DecodeConfigText(const std::string& text, std::string& error) {
  return TryOr(
      [&] {
        return DecodeConfig({kConfigKind, kConfigName, 1, text});
      },
      [&](const Error& e) {
        error = e.ToString();
        return SteeringConfig();
      });
}

struct NameReadings {
  bool as_endpoint = false;
  bool as_host = false;
};

NameReadings ReadUnderName(const std::string& name) {
  StoreObject endpoint = MakeEndpointObject(kEndpointJson);
  endpoint.name = name;
  const StoreObject host{kHostKind, name, 1,
                         R"({"ip":"10.1.0.35","port":80,"zone":"cuyo-a"})"};
  NameReadings out;
  out.as_endpoint = TryOr(
      [&]() -> Result<bool> {
        BOOST_LEAF_CHECK(DecodeEndpoint(endpoint, {}));
        return true;
      },
      [](const Error&) { return false; });
  out.as_host = TryOr(
      [&]() -> Result<bool> {
        BOOST_LEAF_CHECK(DecodeHost(host));
        return true;
      },
      [](const Error&) { return false; });
  return out;
}

// Incident 031. The name is sent in a header field.
TEST(PlatformObjectsTest, RejectsIdsThatCannotBeSent) {
  for (const std::string& it :
       {std::string(), std::string(" i"), std::string("i "), std::string("i\t"),
        std::string("i\r\nX: y"), std::string("i\n"), std::string("i\x01"),
        std::string("\x7f"), std::string("i\0j", 3), std::string(5000, 'i')}) {
    const NameReadings is_read = ReadUnderName(it);
    EXPECT_FALSE(is_read.as_endpoint) << testing::PrintToString(it);
    EXPECT_FALSE(is_read.as_host) << testing::PrintToString(it);
  }
}

// Incident 031.
TEST(PlatformObjectsTest, RecordUnderAnOddNameNamesNoEndpoint) {
  for (const char* it : {"i-1", "i-4d8dc782", "I.1_a~b"})
    EXPECT_TRUE(ReadUnderName(it).as_endpoint) << it;
  for (const char* it :
       {"i&1", "i 1", "i+%25#/1", "i%", "\xc3\xa9", "\xff", "i/1", "i:1"}) {
    const NameReadings is_read = ReadUnderName(it);
    EXPECT_FALSE(is_read.as_endpoint) << it;
    EXPECT_TRUE(is_read.as_host) << it;
  }
}

TEST(PlatformObjectsTest, RejectsHostsWithoutAnAddress) {
  for (const char* it : {"", "here", "10.1.0", "10.1.0.35\\u0000x"}) {
    const StoreObject host{
        kHostKind, "h", 1,
        R"({"ip":")" + std::string(it) + R"(","port":80,"zone":"cuyo-a"})"};
    EXPECT_FALSE(TryOr(
        [&]() -> Result<bool> {
          BOOST_LEAF_CHECK(DecodeHost(host));
          return true;
        },
        [](const Error&) { return false; }))
        << it;
  }
}

TEST(PlatformObjectsTest, DecodesConfiguration) {
  std::string error;
  const SteeringConfig config = DecodeConfigText(kConfigJson, error);
  ASSERT_EQ(error, "");
  EXPECT_EQ(config.version, 7U);
  EXPECT_EQ(config.limits.body_bytes, 1024U);
  EXPECT_DOUBLE_EQ(config.services.at(ServiceId("a")).warmup_per_second, 6.9);
  const RequestRoute* unsplit = FindRoute(config, "h.example", "/x/1");
  ASSERT_TRUE(unsplit);
  EXPECT_EQ(unsplit->kind, RouteKind::kNonIdempotent);
  EXPECT_EQ(unsplit->timeout, std::chrono::milliseconds(2500));
  EXPECT_EQ(unsplit->max_attempts, 2);
  EXPECT_TRUE(unsplit->sticky);
  EXPECT_EQ(unsplit->home_regions.size(), 1U);
  const RequestRoute* split = FindRoute(config, "h.example", "/x/y/1");
  ASSERT_TRUE(split);
  EXPECT_EQ(split->kind, RouteKind::kUpload);
  ASSERT_EQ(split->traffic_shares.size(), 2U);
  EXPECT_DOUBLE_EQ(split->traffic_shares[1].weight, 10);
}

TEST(PlatformObjectsTest, DecodesDownloadRoutesAsRepeatable) {
  std::string text = kConfigJson;
  text.replace(text.find("upload"), 6, "download");
  std::string error;
  const SteeringConfig config = DecodeConfigText(text, error);
  ASSERT_EQ(error, "");
  const RequestRoute* route = FindRoute(config, "h.example", "/x/y/1");
  ASSERT_TRUE(route);
  EXPECT_EQ(route->kind, RouteKind::kDownload);
  EXPECT_TRUE(MayRepeat(route->kind));
}

TEST(PlatformObjectsTest, DoesNotRepeatRequestsOfUnknownRouteType) {
  std::string text = kConfigJson;
  text.replace(text.find("upload"), 6, "stream");
  std::string error;
  const SteeringConfig config = DecodeConfigText(text, error);
  EXPECT_FALSE(MayRepeat(FindRoute(config, "h.example", "/x/y/1")->kind));
}

// Incident 030.
TEST(PlatformObjectsTest, UnreadableRouteIsNamedAndRefused) {
  std::string text = kConfigJson;
  text.replace(text.find("\"traffic-split\":["), 17,
               "\"home-regions\":5,\"traffic-split\":[");
  std::string error;
  const SteeringConfig config = DecodeConfigText(text, error);
  ASSERT_EQ(error, "");
  EXPECT_EQ(config.version, 7U);
  const RequestRoute* unreadable = FindRoute(config, "h.example", "/x/y/1");
  ASSERT_TRUE(unreadable);
  EXPECT_TRUE(unreadable->is_unreadable);
  EXPECT_FALSE(IsHome(HomesOfRoute(*unreadable), RegionId("r")));
  EXPECT_FALSE(FindRoute(config, "h.example", "/x/1")->is_unreadable);
  ASSERT_EQ(config.unreadable.size(), 1U);
  EXPECT_NE(config.unreadable[0].find("route /x/y/ home-regions"),
            std::string::npos)
      << config.unreadable[0];
}

// Incident 030.
TEST(PlatformObjectsTest, RejectsVersionsThatAreNoNumbers) {
  for (const char* it :
       {"r", "7", "r-1", "r+1", "r 1", "r1 ", "r99999999999999999999999"}) {
    std::string text = kConfigJson;
    text.replace(text.find("\"r7\""), 4, '"' + std::string(it) + '"');
    std::string error;
    DecodeConfigText(text, error);
    EXPECT_NE(error.find("version"), std::string::npos) << it;
  }
}

// Incident 030.
TEST(PlatformObjectsTest, RejectsVersionsWithoutAnyHostThatCanBeRead) {
  for (const char* it :
       {R"({"version":"r8"})", R"({"version":"r8","hosts":5})",
        R"({"version":"r8","hosts":[5]})", R"({"version":"r8","hosts":[{}]})",
        R"({"version":"r8","hosts":[{"host":"h","paths":7}]})"}) {
    std::string error;
    DecodeConfigText(it, error);
    EXPECT_NE(error.find("hosts"), std::string::npos) << it;
  }
}

// Overwrites three random bytes of a configuration. Decoding must return a
// result or an error and must not crash or throw.
TEST(PlatformObjectsTest, AcceptsOrRejectsCorruptedObjects) {
  std::mt19937 random(3);
  for (int round = 0; round < 3000; ++round) {
    std::string text = kConfigJson;
    for (int i = 0; i < 3; ++i)
      text[random() % text.size()] = static_cast<char>(random());
    std::string error;
    DecodeConfigText(text, error);
    DecodeEndpointText(text, error);
  }
}

TEST(PlatformWireTest, DecodesAndForwardsRequest) {
  HttpHead head;
  head.method = "GET";
  head.target = "/x/1?q=2";
  head.fields = {{"Host", "h.example"},
                 {"Request-Id", "9c41"},
                 {"Cookie", "a=b; Affinity-Key=17; c=d"},
                 {"Deadline-Ms", "2000"},
                 {"Target-Instance", "from-the-caller"},
                 {"Connection", "keep-alive"},
                 {"X-Other", "y"}};
  const CallerRequest request = DecodeRequest(head);
  EXPECT_EQ(request.id, "9c41");
  EXPECT_EQ(request.path, "/x/1");
  EXPECT_EQ(request.affinity_key, "17");
  EXPECT_EQ(request.time_limit, std::chrono::milliseconds(2000));
  const HttpFields fields = EncodeRequest(request, EndpointId("i-7"),
                                          std::chrono::milliseconds(1500));
  EXPECT_EQ(*FindField(fields, "Deadline-Ms"), "1500");
  EXPECT_EQ(*FindField(fields, "Target-Instance"), "i-7");
  EXPECT_EQ(*FindField(fields, "X-Other"), "y");
  EXPECT_EQ(*FindField(fields, "Request-Id"), "9c41");
  EXPECT_FALSE(FindField(fields, "Connection"));
}

TEST(PlatformWireTest, DecodesWhetherTheRequestRan) {
  struct Case {
    const char* name;
    int status;
    HttpFields fields;
    bool not_run;
    bool is_signed;
    bool status_implies_not_run;
  };
  const std::vector<Case> cases = {
      {"signed 200", 200, {{"Server-Seal", "x"}}, false, true, false},
      {"Not-Executed 503", 503, {{"Not-Executed", "1"}}, true, false, true},
      {"signed 503", 503, {{"Server-Seal", "x"}}, false, true, true},
      {"signed 429", 429, {{"Server-Seal", "x"}}, false, true, true},
      {"signed 408", 408, {{"Server-Seal", "x"}}, false, true, true},
      {"misdirected 421", 421, {{"Instance-Id", "i-2"}}, true, false, true},
      {"unsigned 500", 500, {}, false, false, false},
  };
  for (const Case& it : cases) {
    SCOPED_TRACE(it.name);
    HttpHead head;
    head.status = it.status;
    head.fields = it.fields;
    const WireAnswer answer = DecodeAnswer(head);
    EXPECT_EQ(answer.proves_not_run, it.not_run);
    EXPECT_EQ(answer.status_implies_not_run, it.status_implies_not_run);
    EXPECT_EQ(answer.is_signed, it.is_signed);
  }
}

TEST(PlatformWireTest, DecodesLoadAndIdleTimeout) {
  HttpHead head;
  head.status = 200;
  head.fields = {{"Server-Load", "3,1,8"}, {"Keep-Alive", "timeout=10, max=9"}};
  const WireAnswer answer = DecodeAnswer(head);
  ASSERT_TRUE(answer.load);
  EXPECT_EQ(answer.load->running, 3);
  EXPECT_EQ(answer.load->waiting, 1);
  EXPECT_EQ(answer.load->slots, 8);
  EXPECT_EQ(answer.idle_timeout, std::chrono::seconds(10));
  head.fields = {{"Server-Load", "3,x"}, {"Keep-Alive", "max=9"}};
  EXPECT_FALSE(DecodeAnswer(head).load);
  EXPECT_FALSE(DecodeAnswer(head).idle_timeout);
}

TEST(PlatformWireTest, DecodesLeaving) {
  struct Case {
    const char* name;
    int status;
    HttpFields fields;
    bool is_leaving;
  };
  const std::vector<Case> cases = {
      {"none", 200, {}, false},
      {"leaving", 200, {{"Server-Leaving", "1"}}, true},
      {"refusal", 503, {{"Server-Leaving", "1"}}, true},
      {"other case", 500, {{"server-leaving", " 1 "}}, true},
      {"said twice",
       200,
       {{"Server-Leaving", "0"}, {"Server-Leaving", "1"}},
       true},
      {"not leaving", 200, {{"Server-Leaving", "0"}}, false},
      {"no value", 200, {{"Server-Leaving", ""}}, false},
  };
  for (const Case& it : cases) {
    SCOPED_TRACE(it.name);
    HttpHead head;
    head.status = it.status;
    head.fields = it.fields;
    const WireAnswer answer = DecodeAnswer(head);
    EXPECT_EQ(answer.is_leaving, it.is_leaving);
    // Callers get the endpoint's fields unchanged.
    EXPECT_EQ(answer.forwarded.size(), it.fields.size());
  }
}

TEST(PlatformWireTest, DecodesRetryAfter) {
  using std::chrono::milliseconds;
  struct Case {
    const char* name;
    int status;
    HttpFields fields;
    std::optional<Duration> retry_after;
  };
  const std::vector<Case> cases = {
      {"none", 503, {}, {}},
      {"seconds", 503, {{"Retry-After", "2"}}, milliseconds(2000)},
      {"fraction", 503, {{"Retry-After", "0.25"}}, milliseconds(250)},
      {"zero", 503, {{"Retry-After", "0"}}, milliseconds(0)},
      {"the longest of several",
       503,
       {{"Retry-After", "1"}, {"Retry-After", "3"}, {"Retry-After", "x"}},
       milliseconds(3000)},
      {"huge", 503, {{"Retry-After", "1e300"}}, FromSeconds(1e9)},
      {"infinite", 503, {{"Retry-After", "inf"}}, FromSeconds(1e9)},
      {"negative", 503, {{"Retry-After", "-1"}}, {}},
      {"no number", 503, {{"Retry-After", "nan"}}, {}},
      {"date", 503, {{"Retry-After", "Sat, 05 Dec 2026 08:00:00 GMT"}}, {}},
      {"empty", 503, {{"Retry-After", ""}}, {}},
      {"other status", 429, {{"Retry-After", "2"}}, {}},
  };
  for (const Case& it : cases) {
    SCOPED_TRACE(it.name);
    HttpHead head;
    head.status = it.status;
    head.fields = it.fields;
    EXPECT_EQ(DecodeAnswer(head).retry_after, it.retry_after);
  }
}

}  // namespace
}  // namespace sassafras::platform
