// End-to-end test with separate processes: loads a sheet into the store, looks
// up hosts, sends calls and reads the state dump.

#include <gtest/gtest.h>
#include <signal.h>

#include <nlohmann/json.hpp>

#include "standins/deployment.h"

namespace sassafras {
namespace {

using Json = nlohmann::json;

DeploymentConfig SmallConfig(int network) {
  DeploymentConfig config;
  config.binary = SASSAFRASDECK_BINARY;
  config.standins = STANDINS_BINARY;
  config.settings_file = std::string(DATA_DIR) + "/heladeras.toml";
  config.network = network;
  config.hosts_per_zone = 2;
  config.services = {{"rounds", 6, 3, 10}, {"uploads", 6, 3, 10}};
  return config;
}

std::string SampleSheet() {
  return std::string(DATA_DIR) + "/sheets/heladeras.csv";
}

std::string CallUrl(const Address& entry, const std::string& rest) {
  return "http://" + entry.ToString() + "/v1/call/" + rest;
}

std::string KeyPrefixFrom(const Address& entry) {
  const HttpReply reply =
      Fetch("GET", "http://" + entry.ToString() +
                       "/v1/lookup?service=rounds&client=10.1.0.1");
  const Json json = Json::parse(reply.body, nullptr, false);
  return json.is_object() ? json.value("key_prefix", "") : "";
}

TEST(PathTest, CallGoesThroughSeparateProcesses) {
  Deployment deployment(SmallConfig(101));
  ASSERT_TRUE(deployment.Start());
  ASSERT_TRUE(deployment.LoadSheet(SampleSheet()));
  ASSERT_TRUE(deployment.WaitReady(std::chrono::seconds(20)));
  const Address entry = deployment.hosts().front().settings.caller_address;

  const HttpReply read = Fetch("GET", CallUrl(entry, "rounds/stock/7"));
  EXPECT_EQ(read.status, 200) << read.body;
  EXPECT_EQ(Json::parse(read.body)["target"], "/stock/7");

  ASSERT_TRUE(WaitUntil(std::chrono::seconds(20),
                        [&] { return !KeyPrefixFrom(entry).empty(); }));
  const std::string key = KeyPrefixFrom(entry) + "order-1";
  const std::vector<std::string> headers = {"Idempotency-Key: " + key};
  const HttpReply charge =
      Fetch("POST", CallUrl(entry, "rounds/charges"), "amount=1", headers);
  EXPECT_EQ(charge.status, 200) << charge.body;

  // A call with the same key through another entry host gets the same answer
  // and does not run again.
  const Address other = deployment.hosts().back().settings.caller_address;
  const HttpReply again =
      Fetch("POST", CallUrl(other, "rounds/charges"), "amount=1", headers);
  EXPECT_EQ(again.status, 200) << again.body;
  EXPECT_EQ(again.body, charge.body);
  EXPECT_EQ(deployment.Runs()[key], 1);

  const HttpReply differs =
      Fetch("POST", CallUrl(other, "rounds/charges"), "amount=2", headers);
  EXPECT_EQ(differs.status, 422) << differs.body;
  EXPECT_EQ(deployment.Runs()[key], 1);

  const std::string photo(3 << 20, 'p');
  const HttpReply upload =
      Fetch("PUT", CallUrl(entry, "uploads/photos/1"), photo, {}, 20000);
  EXPECT_EQ(upload.status, 200) << upload.body;
  EXPECT_EQ(Json::parse(upload.body)["bytes"], photo.size());

  const HttpReply state = Fetch(
      "GET",
      "http://" +
          deployment.hosts().front().settings.operator_address.ToString() +
          "/state?part=process");
  EXPECT_EQ(state.status, 200);
  EXPECT_EQ(Json::parse(state.body)["ready"], true);
}

TEST(PathTest, BadRequestsAreRefusedBeforeAnEndpoint) {
  Deployment deployment(SmallConfig(102));
  ASSERT_TRUE(deployment.Start());
  ASSERT_TRUE(deployment.LoadSheet(SampleSheet()));
  ASSERT_TRUE(deployment.WaitReady(std::chrono::seconds(20)));
  const Address entry = deployment.hosts().front().settings.caller_address;
  struct Case {
    std::string method;
    std::string rest;
    std::vector<std::string> headers;
    std::string body;
    long status;
    std::string code;
  };
  const Case cases[] = {
      {"GET", "nothing/stock", {}, "", 404, "unknown_service"},
      {"GET", "rounds/nothing", {}, "", 404, "unknown_route"},
      {"POST", "rounds/charges", {}, "x", 400, "idempotency_key_missing"},
      {"GET",
       "rounds/stock",
       {"Request-Timeout: soon"},
       "",
       400,
       "bad_timeout"},
      {"POST",
       "rounds/charges",
       {"Idempotency-Key: a b"},
       "x",
       400,
       "bad_idempotency_key"},
      {"POST",
       "rounds/charges",
       {"Idempotency-Key: big"},
       std::string(100000, 'x'),
       413,
       "body_too_large"},
  };
  for (const Case& it : cases) {
    const HttpReply reply =
        Fetch(it.method, CallUrl(entry, it.rest), it.body, it.headers);
    EXPECT_EQ(reply.status, it.status) << it.rest << reply.body;
    const Json json = Json::parse(reply.body, nullptr, false);
    ASSERT_TRUE(json.is_object()) << reply.body;
    EXPECT_EQ(json["code"], it.code);
    EXPECT_EQ(json["ran"], "no");
  }
  EXPECT_TRUE(deployment.Runs().empty());
}

}  // namespace
}  // namespace sassafras
