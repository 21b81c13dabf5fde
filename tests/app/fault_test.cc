// Tests of real entry and control processes under faults: SIGKILL, SIGSTOP,
// SIGTERM, store outages and lost store answers. They guard against lost
// records and against keyed requests that run twice. The tests wait for states,
// with a time limit.

#include <gtest/gtest.h>
#include <signal.h>

#include <atomic>
#include <fstream>
#include <nlohmann/json.hpp>
#include <thread>

#include "standins/deployment.h"

namespace sassafras {
namespace {

using Json = nlohmann::json;
using std::chrono::seconds;

DeploymentConfig SmallConfig(int network) {
  DeploymentConfig config;
  config.binary = SASSAFRASDECK_BINARY;
  config.standins = STANDINS_BINARY;
  config.settings_file = std::string(DATA_DIR) + "/heladeras.toml";
  config.network = network;
  config.hosts_per_zone = 2;
  config.services = {{"rounds", 6, 3, 20}, {"uploads", 6, 3, 20}};
  return config;
}

class FaultTest : public ::testing::Test {
 protected:
  void Start(int network) {
    deployment_ = std::make_unique<Deployment>(SmallConfig(network));
    ASSERT_TRUE(deployment_->Start());
    ASSERT_TRUE(deployment_->LoadSheet(std::string(DATA_DIR) +
                                       "/sheets/heladeras.csv"));
    ASSERT_TRUE(deployment_->WaitReady(seconds(20)));
    ASSERT_TRUE(WaitUntil(seconds(20), [&] { return !KeyPrefix(0).empty(); }));
  }

  Address EntryAddress(size_t host) {
    return deployment_->hosts()[host].settings.caller_address;
  }

  Json Lookup(size_t host) {
    const HttpReply reply =
        Fetch("GET", "http://" + EntryAddress(host).ToString() +
                         "/v1/lookup?service=rounds&client=10.1.0.1");
    return Json::parse(reply.body, nullptr, false);
  }

  std::string KeyPrefix(size_t host) {
    const Json json = Lookup(host);
    return json.is_object() ? json.value("key_prefix", "") : "";
  }

  bool LookupListsHost(size_t host, const std::string& name) {
    const Json json = Lookup(host);
    for (const Json& it : json.value("hosts", Json::array())) {
      if (it["host"] == name)
        return true;
    }
    return false;
  }

  HttpReply Charge(size_t host, const std::string& key) {
    return Fetch(
        "POST",
        "http://" + EntryAddress(host).ToString() + "/v1/call/rounds/charges",
        "amount=1", {"Idempotency-Key: " + key, "Request-Timeout: 5"}, 8000);
  }

  HttpReply SetStoreFaults(const std::string& faults) {
    return Fetch("PUT", deployment_->StoreUrl() + "/control", faults);
  }

  static std::string Ran(const HttpReply& reply) {
    const Json json = Json::parse(reply.body, nullptr, false);
    return json.is_object() ? json.value("ran", "") : "";
  }

  std::unique_ptr<Deployment> deployment_;
};

TEST_F(FaultTest, KilledHostsLoseNoRecordAndRunNoKeyTwice) {
  Start(103);
  std::vector<std::string> keys;
  for (int n = 0; n < 20; ++n) {
    keys.push_back(KeyPrefix(0) + "order-" + std::to_string(n));
    ASSERT_EQ(Charge(0, keys.back()).status, 200);
  }
  const auto killed = deployment_->hosts()[1];
  Deployment::Signal(killed.entry, SIGKILL);
  Deployment::Signal(killed.control, SIGKILL);
  ASSERT_TRUE(WaitUntil(seconds(15), [&] {
    return !LookupListsHost(0, killed.settings.name.value());
  }));
  for (const std::string& it : keys) {
    HttpReply again;
    ASSERT_TRUE(WaitUntil(seconds(20), [&] {
      again = Charge(2, it);
      return again.status == 200;
    })) << again.body;
  }
  const auto runs = deployment_->Runs();
  for (const std::string& it : keys)
    EXPECT_EQ(runs.at(it), 1) << it;
  // New keys are issued and their requests run.
  const HttpReply fresh = Charge(0, KeyPrefix(0) + "fresh");
  EXPECT_EQ(fresh.status, 200) << fresh.body;
}

TEST_F(FaultTest, StoreOutageStopsNoCalls) {
  Start(104);
  ASSERT_EQ(SetStoreFaults("{\"refuse\":true}").status, 200);
  for (int n = 0; n < 10; ++n) {
    const size_t host = static_cast<size_t>(n) % 12;
    const HttpReply reply =
        Charge(host, KeyPrefix(host) + "order-" + std::to_string(n));
    EXPECT_EQ(reply.status, 200) << reply.body;
  }
  // Restarts a host. During the outage a sheet cannot be loaded.
  auto& host = deployment_->hosts()[3];
  Deployment::Signal(host.entry, SIGKILL);
  Deployment::Signal(host.control, SIGKILL);
  ASSERT_TRUE(Deployment::WaitEnd(host.entry, seconds(5)));
  ASSERT_TRUE(Deployment::WaitEnd(host.control, seconds(5)));
  EXPECT_NE(
      deployment_->RunCommand(
          {"sheet", "load", std::string(DATA_DIR) + "/sheets/heladeras.csv",
           "--settings", deployment_->settings_file(), "--operator", "test"}),
      0);
  ASSERT_EQ(SetStoreFaults("{\"refuse\":false}").status, 200);
  deployment_->StartHost(host);
  EXPECT_TRUE(deployment_->WaitReady(seconds(30)));
}

TEST_F(FaultTest, StoppedHostFinishesOpenRequests) {
  Start(105);
  auto& host = deployment_->hosts()[0];
  // An upload that is still in progress when the host receives SIGTERM.
  std::atomic<long> status{0};
  for (auto& it : deployment_->endpoints()) {
    if (it.service == "uploads") {
      Fetch("PUT", "http://" + it.address.ToString() + "/standin/control",
            "{\"work_ms\":12000}");
    }
  }
  std::thread upload([&] {
    const HttpReply reply = Fetch(
        "PUT",
        "http://" + EntryAddress(0).ToString() + "/v1/call/uploads/photos/1",
        std::string(1 << 20, 'p'), {"Request-Timeout: 40"}, 45000);
    status = reply.status;
  });
  const std::string state_url = "http://" +
                                host.settings.operator_address.ToString() +
                                "/state?part=process";
  EXPECT_TRUE(WaitUntil(seconds(5), [&] {
    const Json json = Json::parse(Fetch("GET", state_url).body, nullptr, false);
    return json.is_object() && json.value("open_exchanges", 0) > 0;
  }));
  Deployment::Signal(host.entry, SIGTERM);
  Deployment::Signal(host.entry, SIGTERM);  // A second signal has no effect.
  EXPECT_TRUE(WaitUntil(seconds(5), [&] {
    return !LookupListsHost(5, host.settings.name.value());
  }));
  // Callers with a cached look-up still send calls to the host.
  EXPECT_EQ(Charge(0, KeyPrefix(2) + "cached").status, 200);
  upload.join();
  EXPECT_EQ(status.load(), 200);
  EXPECT_TRUE(Deployment::WaitEnd(host.entry, seconds(70)));
}

TEST_F(FaultTest, FrozenHostWakesAndRunsNothingTwice) {
  Start(106);
  auto& host = deployment_->hosts()[0];
  const std::string key = KeyPrefix(0) + "order";
  std::atomic<long> first{-1};
  for (auto& it : deployment_->endpoints()) {
    Fetch("PUT", "http://" + it.address.ToString() + "/standin/control",
          "{\"work_ms\":1500}");
  }
  std::thread caller([&] { first = Charge(0, key).status; });
  EXPECT_TRUE(WaitUntil(seconds(5),
                        [&] { return deployment_->Runs().count(key) > 0; }));
  Deployment::Signal(host.entry, SIGSTOP);
  caller.join();  // The call ends by its own timeout.
  const HttpReply during = Charge(4, key);
  EXPECT_NE(Ran(during), "no") << during.body;
  Deployment::Signal(host.entry, SIGCONT);
  HttpReply after;
  WaitUntil(seconds(10), [&] {
    after = Charge(4, key);
    return after.status == 200;
  });
  EXPECT_NE(Ran(after), "no") << after.body;
  EXPECT_EQ(deployment_->Runs()[key], 1);
}

TEST_F(FaultTest, LostAnswerOfALoadIsResolved) {
  Start(107);
  ASSERT_EQ(SetStoreFaults("{\"lose_writes\":1}").status, 200);
  // The sheet differs from the one in force by one row.
  const std::string sheet = testing::TempDir() + "sassafras-sheet-107.csv";
  {
    std::ofstream out(sheet);
    out << "kind,region,percent\nheadroom,cuyo,20\n";
  }
  EXPECT_EQ(deployment_->RunCommand({"sheet", "load", sheet, "--settings",
                                     deployment_->settings_file(), "--operator",
                                     "test", "--wait"}),
            0);
  EXPECT_EQ(deployment_->RunCommand({"sheet", "status", "--settings",
                                     deployment_->settings_file()}),
            0);
}

}  // namespace
}  // namespace sassafras
