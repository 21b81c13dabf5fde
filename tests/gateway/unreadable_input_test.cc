// Versions and endpoint records that cannot be read in part, tested with a
// gateway process.

#include <gtest/gtest.h>

#include <functional>

#include <nlohmann/json.hpp>

#include "gateway/gateway_fixture.h"

namespace sassafras {
namespace {

using std::chrono::milliseconds;
using Json = nlohmann::json;

// The shortest limit for a version that the platform's documentation states for
// any deployment.
constexpr milliseconds kApplyTime{2000};
// From a host's start until it follows the store or a relay.
constexpr milliseconds kFirstFollow{1200};

using UnreadableInputTest = GatewayTest;

// Incident 030. Such a record names no endpoint to use.
TEST_F(UnreadableInputTest,
       EndpointWhoseRecordBecomesUnreadableGetsNoRequests) {
  StartOne(2);
  Wait(kFirstFollow);
  const auto reach = [&](const std::string& phase) {
    const int before = endpoints_[0]->arrivals();
    for (int i = 0; i < 20; ++i) {
      const std::string id = phase + std::to_string(i);
      EXPECT_EQ(Status(RequestText("GET", "/read/" + id, id,
                                   "Cookie: Affinity-Key=" + id + "\r\n")),
                200);
    }
    return endpoints_[0]->arrivals() - before;
  };
  EXPECT_GT(reach("a"), 0);
  Json record = endpoints_[0]->Record("rondas", "cuyo-a");
  record["state"] = 5;
  world_.store().Put("servers", "i-1", record);
  Wait(kApplyTime);
  EXPECT_EQ(reach("b"), 0);
  world_.Register(*endpoints_[0], "rondas");
  Wait(kApplyTime);
  EXPECT_GT(reach("c"), 0);
}

struct UnreadableCase {
  const char* name;
  // Changes the configuration; its route /download/ is at the index kChanged.
  std::function<void(Json& config, Json& route)> change;
  int status;  // Of requests of that route.
};

constexpr size_t kChanged = 3;

std::vector<UnreadableCase> UnreadableCases() {
  const auto set = [](const char* field, const Json& value) {
    return [field, value](Json&, Json& route) { route[field] = value; };
  };
  return {
      {"unknown field", set("colour", {{"r", 1}}), 200},
      {"unknown route type", set("route-type", "stream"), 200},
      {"route type of another type", set("route-type", 7), 200},
      {"timeout of another type", set("timeout-s", "2"), 200},
      {"very large timeout", set("timeout-s", 1e300), 200},
      {"very large number of attempts", set("max-attempts", 1e15), 200},
      {"priority out of range", set("priority", -1e12), 200},
      {"target latency of another type", set("target-latency-s", {1}), 200},
      {"stickiness of another type", set("sticky-session", "yes"), 200},
      {"name of another type", set("name", 5), 200},
      {"service of another type", set("service", 5), 503},
      {"service that is not defined", set("service", "nowhere"), 503},
      {"home regions of another type", set("home-regions", "cuyo"), 503},
      {"home region of another type", set("home-regions", {"cuyo", 5}), 503},
      {"split without weight",
       set("traffic-split", Json::array({{{"service", "rondas"}}})), 200},
      {"split with a weight of another type",
       set("traffic-split",
           Json::array({{{"service", "rondas"}, {"weight", "1"}}})),
       503},
      {"split of another type", set("traffic-split", "rondas"), 503},
      {"null in place of a route",
       [](Json& config, Json&) {
         config["hosts"][0]["paths"].push_back(nullptr);
       },
       200},
      {"route without a prefix",
       [](Json& config, Json&) {
         config["hosts"][0]["paths"].push_back({{"service", "rondas"}});
       },
       200},
      {"number in place of a host",
       [](Json& config, Json&) { config["hosts"].push_back(5); }, 200},
      {"repeated host",
       [](Json& config, Json& route) {
         Json moved = route;
         config["hosts"][0]["paths"].erase(kChanged);
         config["hosts"].push_back(
             {{"host", "h.example"}, {"paths", Json::array({moved})}});
       },
       200},
      {"host name in capitals",
       [](Json& config, Json&) { config["hosts"][0]["host"] = "H.Example"; },
       200},
      {"repeated prefix",
       [](Json& config, Json& route) {
         config["hosts"][0]["paths"].push_back(Json(route));
       },
       200},
      {"service without a name",
       [](Json& config, Json&) {
         config["services"].push_back({{"cold-start-s", 3}});
       },
       200},
      {"service with a limit of another type",
       [](Json& config, Json&) {
         config["services"][0]["max-connections"] = "many";
       },
       200},
      {"limit of another type",
       [](Json& config, Json&) { config["limits"]["header-bytes"] = "4k"; },
       200},
  };
}

// Incident 030.
TEST_F(UnreadableInputTest, VersionThatIsUnreadableInPartAppliesOtherwise) {
  StartOne();
  int version = 1;
  for (const UnreadableCase& it : UnreadableCases()) {
    SCOPED_TRACE(it.name);
    const std::string added = "/v" + std::to_string(++version) + "/";
    Json config = world_.ConfigJson(version, added);
    Json& route = config["hosts"][0]["paths"][kChanged];
    ASSERT_EQ(route["path-prefix"], "/download/");
    it.change(config, route);
    world_.store().Put("config", "main", config);
    EXPECT_TRUE(world_.Eventually(kApplyTime, [&] {
      return Status(RequestText("GET", added + "1", "a" + added)) == 200;
    }));
    EXPECT_EQ(Status(RequestText("GET", "/read/1", "r" + added)), 200);
    EXPECT_EQ(Status(RequestText("GET", "/download/1", "d" + added)),
              it.status);
  }
}

// Incident 030.
TEST_F(UnreadableInputTest, HostStartsWithAVersionThatIsUnreadableInPart) {
  Json config = world_.ConfigJson(1, "");
  config["hosts"][0]["paths"][kChanged]["timeout-s"] = "2";
  world_.store().Put("config", "main", config);
  world_.AddEndpoint("rondas");
  address_ = world_.StartGateway(1);
  ASSERT_TRUE(world_.WaitReady(1));
  EXPECT_EQ(Status(RequestText("GET", "/read/1", "s1")), 200);
}

// Incident 030.
TEST_F(UnreadableInputTest, VersionWithANumberOutOfRangeDoesNotHideLaterOnes) {
  StartOne();
  Wait(kFirstFollow);
  Json config = world_.ConfigJson(2, "/odd/");
  config["version"] = "r99999999999999999999999";
  world_.store().Put("config", "main", config);
  Wait(milliseconds(500));
  EXPECT_EQ(Status(RequestText("GET", "/read/1", "n1")), 200);
  world_.PutConfig(3, "/later/");
  EXPECT_TRUE(world_.Eventually(kApplyTime, [&] {
    return Status(RequestText("GET", "/later/1", "n2")) == 200;
  }));
}

}  // namespace
}  // namespace sassafras
