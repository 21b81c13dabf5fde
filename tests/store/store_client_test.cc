#include <gtest/gtest.h>

#include "base/http_server.h"
#include "base/http_status.h"
#include "store/store.h"

namespace sassafras {
namespace {

constexpr std::chrono::milliseconds kTimeout{500};

std::string ObjectText(const std::string& name, const std::string& spec) {
  return R"({"kind":"k","metadata":{"name":")" + name +
         R"(","resourceVersion":"3"},"spec":)" + spec + "}";
}

// Follows a kind whose list holds the object `odd` between two valid ones.
// Returns the names of the objects that are reported.
std::vector<std::string> NamesFollowed(const std::string& odd) {
  Loop loop;
  HttpServerConfig config;
  config.listen = {"127.200.1.1", 8142};
  const std::string list = R"({"metadata":{"resourceVersion":"5"},"items":[)" +
                           ObjectText("first", "{}") + "," + odd + "," +
                           ObjectText("last", "{}") + "]}";
  auto server = TryOr(
      [&] {
        return StartHttpServer(
            loop, config, [&](const std::shared_ptr<HttpSession>& session) {
              session->Respond(session->Argument("watch")
                                   ? kHttpServiceUnavailable
                                   : kHttpOk,
                               {}, list);
            });
      },
      [](const Error&) { return std::unique_ptr<HttpServer>(); });
  std::vector<std::string> names;
  if (!server)
    return names;
  const auto store = ConnectStore(loop, config.listen, kTimeout);
  const auto follower = store->Follow("k", {}, [&](const StoreChange& change) {
    for (const StoreObject& it : change.objects)
      names.push_back(it.name);
    loop.Stop();
  });
  const auto end = loop.After(kTimeout, [&] { loop.Stop(); });
  loop.Run();
  return names;
}

// A list must be reported even if one of its objects is malformed or has a
// value that a strict JSON parser rejects (a number out of range, deep
// nesting).
TEST(StoreClientTest, OddObjectDoesNotHideOthers) {
  struct Case {
    const char* name;
    std::string odd;
  };
  constexpr size_t kDepth = 100'000;
  const std::vector<Case> cases = {
      {"not an object", "7"},
      {"no resource version",
       R"({"kind":"k","metadata":{"name":"odd"},"spec":{}})"},
      {"resource version too large",
       R"({"kind":"k","metadata":{"name":"odd","resourceVersion":")" +
           std::string(40, '9') + R"("},"spec":{}})"},
  };
  const std::vector<std::string> expected = {"first", "last"};
  for (const Case& it : cases) {
    SCOPED_TRACE(it.name);
    EXPECT_EQ(NamesFollowed(it.odd), expected);
  }
  const std::vector<std::string> with_odd = {"first", "odd", "last"};
  EXPECT_EQ(NamesFollowed(ObjectText("odd", R"({"n":1e999})")), with_odd);
  EXPECT_EQ(NamesFollowed(ObjectText(
                "odd", std::string(kDepth, '[') + std::string(kDepth, ']'))),
            with_odd);
}

}  // namespace
}  // namespace sassafras
