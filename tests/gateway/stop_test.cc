// Tests planned stops of a host, by what callers and endpoints see: no request
// is cut, and the process exits before it would be killed.

#include <gtest/gtest.h>
#include <signal.h>

#include <fstream>
#include <regex>
#include <set>

#include "gateway/gateway_fixture.h"

namespace sassafras {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// From SIGTERM to SIGKILL; see PlatformWorld::SettingsText().
constexpr seconds kStopTimeout{3};

// A caller that keeps its connection and sends further requests as long as the
// host takes them. After the connection has closed, it connects again.
class SteadyCaller {
 public:
  using MakeRequest = std::function<std::string(const std::string& id)>;

  SteadyCaller(PlatformWorld& world,
               const Address& to,
               std::string name,
               size_t pipelined,
               MakeRequest make_request)
      : world_(world),
        to_(to),
        name_(std::move(name)),
        pipelined_(pipelined),
        make_request_(std::move(make_request)) {}

  // Sends the next requests if the earlier ones are answered.
  void Step() {
    CollectAnswers();
    if (!connection_ || connection_->is_closed())
      connection_ = std::make_unique<PlatformStandinCaller>(world_.loop(), to_);
    if (read_ < connection_ids_.size())
      return;
    for (size_t i = 0; i < pipelined_; ++i) {
      connection_ids_.push_back(name_ + "-" + std::to_string(++sent_));
      connection_->Send(make_request_(connection_ids_.back()));
    }
  }

  void CollectAnswers() {
    if (!connection_)
      return;
    for (; read_ < connection_->answers().size() &&
           read_ < connection_ids_.size();
         ++read_)
      statuses_[connection_ids_[read_]] =
          connection_->answers()[read_].head.status;
    if (connection_->is_closed()) {
      connection_ids_.clear();
      read_ = 0;
    }
  }

  // Status by request id; a request without an answer is missing.
  const std::map<std::string, int>& statuses() const { return statuses_; }

 private:
  PlatformWorld& world_;
  Address to_;
  std::string name_;
  size_t pipelined_;
  MakeRequest make_request_;
  std::unique_ptr<PlatformStandinCaller> connection_;
  std::vector<std::string> connection_ids_;  // Sent on the open connection.
  size_t read_ = 0;                          // Of these, the answered ones.
  size_t sent_ = 0;
  std::map<std::string, int> statuses_;
};

struct SteadyCase {
  const char* name;
  size_t pipelined;
  SteadyCaller::MakeRequest make_request;
};

std::string ChunkedUpload(const std::string& id) {
  return RequestText("POST", "/upload/1", id,
                     "Transfer-Encoding: chunked\r\n") +
         FormatChunk(std::string(9000, 'a')) +
         FormatChunk(std::string(9000, 'b')) + std::string(kLastChunk);
}

// Endpoints become slow while the host stops, so that its measured service
// times are too short. Requests that arrive late in the stop must either get
// their endpoint's answer or never reach an endpoint. Guards against reads that
// were started by an estimate and answered 504 at the end of the stop.
TEST_F(GatewayTest, StopCutsNoRequestOfCallersThatKeepSending) {
  const std::vector<SteadyCase> cases = {
      {"reads", 1,
       [](const std::string& id) { return RequestText("GET", "/read/1", id); }},
      {"pipelined reads", 4,
       [](const std::string& id) { return RequestText("GET", "/read/1", id); }},
      {"charges", 1,
       [](const std::string& id) {
         return RequestText("POST", "/charge/1", id, "", "amount=1");
       }},
      {"pipelined charges", 3,
       [](const std::string& id) {
         return RequestText("POST", "/charge/1", id, "", "amount=1");
       }},
      {"uploads in chunks", 1, &ChunkedUpload},
      {"downloads", 1,
       [](const std::string& id) {
         return RequestText("GET", "/download/1", id);
       }},
  };
  // Time in the stop after which the endpoints turn slow.
  constexpr milliseconds kFastTime{1600};
  StartOne(4);
  std::vector<SteadyCaller> callers;
  callers.reserve(cases.size());
  for (const SteadyCase& it : cases)
    callers.emplace_back(world_, address_, it.name, it.pipelined,
                         it.make_request);
  const auto run = [&](milliseconds time) {
    world_.RunUntil(time, [&] {
      for (SteadyCaller& it : callers)
        it.Step();
      return false;
    });
  };
  run(seconds(1));
  world_.Signal(1, SIGTERM);
  run(kFastTime);
  for (PlatformStandinEndpoint* it : endpoints_)
    it->set_work_time(milliseconds(1300));
  run(kStopTimeout - kFastTime);
  EXPECT_TRUE(world_.HasExited(1));
  std::set<std::string> ran;
  for (const PlatformStandinEndpoint* endpoint : endpoints_) {
    for (const auto& it : endpoint->runs())
      ran.insert(it.request_id);
  }
  for (size_t i = 0; i < cases.size(); ++i) {
    SCOPED_TRACE(cases[i].name);
    callers[i].CollectAnswers();
    const std::map<std::string, int>& statuses = callers[i].statuses();
    EXPECT_GT(statuses.size(), 5U);
    for (const std::string& id : ran) {
      if (id.rfind(std::string(cases[i].name) + "-", 0) != 0)
        continue;
      const auto it = statuses.find(id);
      EXPECT_NE(it, statuses.end()) << id << " was cut";
      if (it == statuses.end())
        continue;
      // Not an answer of the host's own in place of the endpoint's.
      EXPECT_EQ(it->second, 200) << id;
    }
  }
}

// A host that is about to exit answers what is still open, so that its caller
// does not wait for its own time limit, and says that the outcome is unknown.
TEST_F(GatewayTest, RequestsThatOutlastTheStopGetAFinalAnswer) {
  StartOne();
  world_.WriteSettings(1, "bounds=grace-s=1\n");
  world_.Signal(1, SIGHUP);
  Wait(milliseconds(200));
  endpoints_[0]->set_work_time(seconds(10));
  const auto charge = Connect();
  charge->Send(RequestText("POST", "/charge/1", "f1", "", "amount=1"));
  const auto read = Connect();
  read->Send(RequestText("GET", "/read/1", "f2"));
  ASSERT_TRUE(
      world_.RunUntil(kAnswerTimeout, [&] { return CountRuns() == 2; }));
  world_.Signal(1, SIGTERM);
  const Time stopped = world_.loop().Now();
  for (const auto* it : {charge.get(), read.get()}) {
    ASSERT_TRUE(WaitAnswers(*it, 1));
    EXPECT_EQ(it->answers()[0].head.status, 504);
    EXPECT_FALSE(it->answers()[0].head.keep_alive);
  }
  EXPECT_TRUE(world_.WaitEnd(1, seconds(1)));
  EXPECT_LT(world_.loop().Now() - stopped, seconds(1));
}

// Refused at once and truthfully, with a time to come back that lets the caller
// go to another host immediately.
TEST_F(GatewayTest, LateChargeIsRefusedBeforeItIsSent) {
  StartOne();
  const auto caller = Connect();
  for (int i = 0; i < 10; ++i) {
    const std::string id = "r" + std::to_string(i);
    caller->Send(RequestText("POST", "/charge/1", id, "", "amount=1"));
    ASSERT_TRUE(WaitAnswers(*caller, static_cast<size_t>(i) + 1));
  }
  world_.Signal(1, SIGTERM);
  // The route's timeout is 2 s, so that the outcome of a charge may come after
  // the exit from now on.
  Wait(milliseconds(1200));
  const size_t before = CountRuns();
  caller->Send(RequestText("POST", "/charge/1", "r99", "", "amount=1"));
  ASSERT_TRUE(WaitAnswers(*caller, 11));
  const HttpHead& head = caller->answers()[10].head;
  EXPECT_EQ(head.status, 503);
  const std::string* retry_after = FindField(head.fields, "Retry-After");
  ASSERT_TRUE(retry_after);
  EXPECT_EQ(*retry_after, "0.000");
  EXPECT_FALSE(head.keep_alive);
  EXPECT_EQ(CountRuns(), before);
}

// Guards against lines that were written at the exit from a destroyed buffer.
TEST_F(GatewayTest, LastLogLineOfAStopIsWhole) {
  StartOne();
  world_.Signal(1, SIGTERM);
  ASSERT_TRUE(world_.WaitEnd(1, kStopTimeout));
  std::ifstream log(world_.LogPathOf(1));
  std::string last;
  for (std::string line; std::getline(log, line);)
    last = line;
  EXPECT_TRUE(std::regex_match(
      last, std::regex("[0-9T:.-]+ INFO \\[gateway\\] Stopped\\. open=0")))
      << last;
}

TEST_F(GatewayTest, ProcessExitsBeforeTheStopTimeout) {
  struct Case {
    const char* name;
    std::function<void()> before;
    std::function<void()> after;
  };
  std::unique_ptr<PlatformStandinCaller> caller;
  const auto nothing = [] {};
  const std::vector<Case> cases = {
      {"idle", nothing, nothing},
      {"open connection",
       [&] {
         caller = Connect();
         caller->Send(RequestText("GET", "/read/1", "x1"));
         WaitAnswers(*caller, 1);
       },
       nothing},
      {"caller does not read a large answer",
       [&] {
         endpoints_[0]->set_answer_bytes(32 << 20);
         caller = Connect();
         caller->PauseReading();
         caller->Send(RequestText("GET", "/download/1", "x2"));
         Wait(milliseconds(300));
         endpoints_[0]->set_answer_bytes(0);
       },
       nothing},
      {"endpoint does not answer",
       [&] {
         endpoints_[0]->set_work_time(seconds(20));
         caller = Connect();
         caller->Send(RequestText("POST", "/charge/1", "x3", "", "amount=1"));
         Wait(milliseconds(100));
         endpoints_[0]->set_work_time(milliseconds(5));
       },
       nothing},
      {"store is down", [&] { world_.store().set_down(true); }, nothing},
      {"second signal", nothing,
       [&] {
         Wait(milliseconds(1500));
         world_.Signal(1, SIGTERM);
         world_.Signal(1, SIGINT);
       }},
  };
  StartOne();
  for (const Case& it : cases) {
    SCOPED_TRACE(it.name);
    it.before();
    world_.Signal(1, SIGTERM);
    const Time signalled = world_.loop().Now();
    it.after();
    EXPECT_TRUE(world_.WaitEnd(1, kStopTimeout));
    EXPECT_LT(world_.loop().Now() - signalled, kStopTimeout);
    world_.store().set_down(false);
    address_ = world_.StartGateway(1);
    ASSERT_TRUE(world_.WaitReady(1));
  }
  // A signal at any moment of the start.
  for (int i = 0; i < 10; ++i) {
    world_.Signal(1, SIGKILL);
    ASSERT_TRUE(world_.WaitEnd(1, seconds(1)));
    world_.StartGateway(1);
    Wait(milliseconds(3 * i));
    world_.Signal(1, SIGTERM);
    EXPECT_TRUE(world_.WaitEnd(1, kStopTimeout)) << i;
    world_.StartGateway(1);
  }
}

}  // namespace
}  // namespace sassafras
