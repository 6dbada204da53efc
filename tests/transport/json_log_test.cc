#include "transport/json_log.h"

#include <mutex>
#include <thread>
#include <type_traits>
#include <variant>

#include <glog/logging.h>
#include <gtest/gtest.h>
#include <boost/json.hpp>

#include "transport/secret.h"

namespace gcw {
namespace {

template <typename T>
concept Streamable = requires(std::ostream& out, const T& value) {
  out << value;
};
using FieldValue = decltype(LogField::value);

static_assert(Streamable<RequestId>);
static_assert(!Streamable<Secret>);
static_assert(std::is_constructible_v<FieldValue, std::string>);
static_assert(!std::is_constructible_v<FieldValue, Secret>);
static_assert(!std::is_convertible_v<Secret, std::string>);

class JsonLogTest : public testing::Test {
 protected:
  JsonLogSettings Settings() {
    JsonLogSettings settings;
    settings.node = NodeId("n1");
    settings.min_severity = LogSeverity::kInfo;
    settings.write = [this](std::string_view line) {
      lines_.emplace_back(line);
    };
    return settings;
  }

  // Returns the only line written, which must be a single line of JSON.
  boost::json::object Line() {
    EXPECT_EQ(lines_.size(), 1U);
    EXPECT_EQ(lines_.at(0).find('\n'), lines_.at(0).size() - 1);
    return boost::json::parse(lines_.at(0)).as_object();
  }

  std::vector<std::string> lines_;
};

TEST_F(JsonLogTest, WritesTypedFields) {
  const JsonLog log(Settings());
  LogEvent(LogSeverity::kWarning, "queue_full",
           {{"depth", std::int64_t{12}}, {"model", std::string("m\"\n\xff")}},
           RequestId("r1"));
  const boost::json::object line = Line();
  EXPECT_EQ(line.at("node"), "n1");
  EXPECT_EQ(line.at("severity"), "WARNING");
  EXPECT_EQ(line.at("event"), "queue_full");
  EXPECT_EQ(line.at("request"), "r1");
  EXPECT_GT(line.at("time_ms").as_int64(), 0);
  EXPECT_EQ(line.at("fields").at("depth"), 12);
  EXPECT_EQ(line.at("fields").at("model"), "m\"\n\xef\xbf\xbd");
}

TEST_F(JsonLogTest, LibraryLogLinesAreJson) {
  const JsonLog log(Settings());
  LOG(ERROR) << "from a library: " << 7;
  const boost::json::object line = Line();
  EXPECT_EQ(line.at("event"), "log_message");
  EXPECT_EQ(line.at("severity"), "ERROR");
  EXPECT_EQ(line.at("fields").at("message"), "from a library: 7");
  EXPECT_EQ(line.at("fields").at("file"), "json_log_test.cc");
}

TEST_F(JsonLogTest, DropsEventsBelowMinSeverity) {
  JsonLogSettings settings = Settings();
  settings.min_severity = LogSeverity::kError;
  const JsonLog log(std::move(settings));
  LogEvent(LogSeverity::kWarning, "quiet");
  EXPECT_TRUE(lines_.empty());
}

TEST_F(JsonLogTest, WritesNothingAfterDestruction) {
  { const JsonLog log(Settings()); }
  LogEvent(LogSeverity::kInfo, "after");
  EXPECT_TRUE(lines_.empty());
}

TEST_F(JsonLogTest, ThreadsDoNotMixTheirLines) {
  constexpr int kLinesEach = 200;
  const JsonLog log(Settings());
  const auto write_lines = [](const char* name) {
    for (int line = 0; line < kLinesEach; ++line) {
      LogEvent(LogSeverity::kInfo, name, {{"who", std::string(name)}});
    }
  };
  std::thread other(write_lines, "b");
  write_lines("a");
  other.join();
  ASSERT_EQ(lines_.size(), 2U * kLinesEach);
  for (const std::string& line : lines_) {
    const auto json = boost::json::parse(line).as_object();
    EXPECT_EQ(json.at("event"), json.at("fields").at("who"));
  }
}

TEST(SecretTest, MatchesOnlyItself) {
  const Secret secret("0123456789");
  EXPECT_TRUE(secret.Matches("0123456789"));
  EXPECT_FALSE(secret.Matches("0123456780"));
  EXPECT_FALSE(secret.Matches("012345678"));
  EXPECT_FALSE(Secret().Matches(""));
}

}  // namespace
}  // namespace gcw
