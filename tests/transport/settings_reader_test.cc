#include "transport/settings_reader.h"

#include <filesystem>
#include <fstream>
#include <sstream>

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace gcw {
namespace {

using testing::HasSubstr;
using testing::Not;

enum class Mode { kFast, kSafe };

struct ExampleSettings {
  NodeId node;
  int port = 8080;
  double headroom = 0.1;
  bool is_verbose = false;
  Duration wait = Duration::Millis(250);
  Mode mode = Mode::kSafe;
  std::vector<std::string> zones = {"a"};
  Secret operator_key;
};

class SettingsReaderTest : public testing::Test {
 protected:
  SettingsReaderTest() {
    reader_.Add("node", &settings_.node, TextRange{1, 8}, "Its id.",
                SettingPresence::kRequired);
    reader_.Add("callers.port", &settings_.port, IntegerRange{0, 65535},
                "Port for callers.");
    reader_.Add("limits.headroom", &settings_.headroom, NumberRange{0, 1},
                "Share kept free.");
    reader_.Add("limits.queue_wait_ms", &settings_.wait,
                DurationRange{Duration::Millis(1), Duration::Seconds(10)},
                "Longest wait.");
    reader_.Add("verbose", &settings_.is_verbose, "More lines.");
    reader_.AddChoice("mode", &settings_.mode,
                      {{"fast", Mode::kFast}, {"safe", Mode::kSafe}}, "Mode.");
    reader_.Add("zones", &settings_.zones, ListRange{1, 2}, "Zones.");
    reader_.AddSecret("operators.key_file", &settings_.operator_key,
                      TextRange{8, 64}, "Operators' credential.");
  }

  std::vector<SettingError> Read(const std::string& text) {
    return reader_.ReadText(text, "gcw.toml");
  }

  // Reads `text` together with a valid `node` and returns the kind of the only
  // error.
  SettingErrorKind KindOf(const std::string& text) {
    const auto errors = Read("node = \"n1\"\n" + text);
    EXPECT_EQ(errors.size(), 1U) << text;
    return errors.empty() ? SettingErrorKind::kBadDeclaration : errors[0].kind;
  }

  static std::string ToText(const std::vector<SettingError>& errors) {
    std::ostringstream out;
    for (const SettingError& error : errors) {
      out << error << '\n';
    }
    return out.str();
  }

  ExampleSettings settings_;
  SettingsReader reader_;
};

TEST_F(SettingsReaderTest, SetsGivenValuesAndKeepsDefaults) {
  EXPECT_EQ(ToText(Read("node = \"n1\"\nzones = [\"b\", \"c\"]\nmode = 'fast'\n"
                        "[limits]\nheadroom = 1\nqueue_wait_ms = 40\n")),
            "");
  EXPECT_EQ(settings_.node, NodeId("n1"));
  EXPECT_EQ(settings_.port, 8080);
  EXPECT_EQ(settings_.headroom, 1.0);
  EXPECT_EQ(settings_.wait, Duration::Millis(40));
  EXPECT_EQ(settings_.mode, Mode::kFast);
  EXPECT_EQ(settings_.zones, (std::vector<std::string>{"b", "c"}));
}

// Guards against durations that are refused because they are fractions or
// given in seconds.
TEST_F(SettingsReaderTest, DurationsMayBeFractionsAndSeconds) {
  for (const auto& [text, millis] : {std::pair("queue_wait_ms = 40.4", 40),
                                     std::pair("queue_wait_ms = 1e3", 1000),
                                     std::pair("queue_wait_s = 7.5", 7500),
                                     std::pair("queue_wait_s = 2", 2000),
                                     std::pair("queue_wait_s = 0.001", 1)}) {
    EXPECT_EQ(ToText(Read("node = \"n1\"\nlimits." + std::string(text))), "");
    EXPECT_EQ(settings_.wait, Duration::Millis(millis)) << text;
  }
  EXPECT_EQ(ToText(Read("node = \"n1\"\nlimits.queue_wait_s = 10.5")),
            "gcw.toml:2: limits.queue_wait_s = 10.5: out of range; "
            "number, 0.001 to 10\n");
  EXPECT_EQ(KindOf("limits.queue_wait_s = true"), SettingErrorKind::kWrongType);
  EXPECT_EQ(KindOf("limits.queue_wait_s = 1e300"),
            SettingErrorKind::kOutOfRange);
  EXPECT_EQ(KindOf("limits = {queue_wait_s = 1, queue_wait_ms = 1000}"),
            SettingErrorKind::kRepeated);
}

// Guards against reading that stops at the first error. An operator would need
// a restart for each error in the file, and some values might already be
// changed.
TEST_F(SettingsReaderTest, ReportsAllErrorsAtOnceAndChangesNothing) {
  const auto errors = Read(
      "mode = \"slow\"\n"
      "[callers]\n"
      "prot = 1\n"
      "port = 70000 # too high\n"
      "[limits]\n"
      "headroom = nan\n"
      "queue_wait_ms = 40\n");
  EXPECT_EQ(ToText(errors),
            "gcw.toml: node: missing; text, 1 to 8 bytes\n"
            "gcw.toml:1: mode = \"slow\": out of range; choice, fast, safe\n"
            "gcw.toml:3: callers.prot = 1: unknown key; "
            "is callers.port meant?\n"
            "gcw.toml:4: callers.port = 70000: out of range; "
            "integer, 0 to 65535\n"
            "gcw.toml:6: limits.headroom = nan: out of range; "
            "number, 0 to 1\n");
  EXPECT_EQ(settings_.wait, Duration::Millis(250));
}

TEST_F(SettingsReaderTest, RefusesWrongTypesRangesAndKeys) {
  for (const char* text :
       {"callers.port = \"80\"", "callers.port = 80.0", "verbose = 1",
        "zones = \"a\"", "zones = [1]", "zones = 1979-05-27", "mode = 1",
        "limits.headroom = true", "operators.key_file = 1",
        "callers.port = {a = 1}"}) {
    EXPECT_EQ(KindOf(text), SettingErrorKind::kWrongType) << text;
  }
  for (const char* text :
       {"zones = []", "zones = ['a', 'b', 'c']", "callers.port = -1",
        "limits.headroom = -0.1", "limits.queue_wait_ms = 0"}) {
    EXPECT_EQ(KindOf(text), SettingErrorKind::kOutOfRange) << text;
  }
  for (const char* text : {"other = 1", "[other]", "[[other]]\na = 1",
                           "limits.other = 1", "\"callers.port\" = 80"}) {
    EXPECT_EQ(KindOf(text), SettingErrorKind::kUnknownKey) << text;
  }
  EXPECT_EQ(Read("node = ")[0].kind, SettingErrorKind::kSyntax);
  EXPECT_EQ(Read("node = \"n1\"\nnode = \"n2\"")[0].line, 2);
  EXPECT_EQ(reader_.ReadFile("/nonexistent/gcw.toml")[0].kind,
            SettingErrorKind::kFileUnreadable);
}

class SecretSettingTest : public SettingsReaderTest {
 protected:
  SecretSettingTest() { std::filesystem::create_directories(folder_); }
  ~SecretSettingTest() override { std::filesystem::remove_all(folder_); }

  void WriteFile(const std::string& name, const std::string& content) {
    std::ofstream(folder_ / name) << content;
  }

  std::filesystem::path folder_ = std::filesystem::path(testing::TempDir()) /
                                  ("gcw_secret_" + std::to_string(getpid()));
};

TEST_F(SecretSettingTest, ReadsSecretsBesideTheSettingsFile) {
  WriteFile("operator.key", "correct-horse\nnot this\n");
  WriteFile("gcw.toml",
            "node = \"n1\"\noperators.key_file = \"operator.key\"\n");
  EXPECT_EQ(ToText(reader_.ReadFile(folder_ / "gcw.toml")), "");
  EXPECT_TRUE(settings_.operator_key.Matches("correct-horse"));
}

// Guards against secrets in the log. Errors usually show the value as written,
// and an operator may write a secret where the path of its file belongs, or
// under an unknown key.
TEST_F(SecretSettingTest, NoErrorShowsASecret) {
  WriteFile("short.key", "hush");
  const std::string text =
      ToText(Read("node = \"n1\"\noperators.key_file = \"hush-hush\"")) +
      ToText(Read("node = \"n1\"\noperators.key_file = \"" +
                  (folder_ / "short.key").string() + "\"")) +
      ToText(Read("node = \"n1\"\noperators.key = \"hush-hush\"")) +
      ToText(Read("node = \"n1\"\noperators = {key = \"hush-hush\"}")) +
      ToText(Read("node = \"n1\"\noperator = {key = \"hush-hush\"}"));
  EXPECT_THAT(text, HasSubstr("secret cannot be read"));
  EXPECT_THAT(text, HasSubstr("short.key"));
  EXPECT_THAT(text, HasSubstr("8 to 64 bytes"));
  EXPECT_THAT(text, Not(HasSubstr("hush")));
}

TEST_F(SettingsReaderTest, RefusesDeclarationsWithoutUnitOrDuplicated) {
  SettingsReader reader;
  Duration wait;
  Secret key;
  reader.Add("wait", &wait, DurationRange{}, "No unit.");
  reader.AddSecret("key", &key, TextRange{}, "Not a file.");
  reader.Add("twice_ms", &wait, DurationRange{}, "Once.");
  reader.Add("twice_ms", &wait, DurationRange{}, "Again.");
  const auto errors = reader.ReadText("", "gcw.toml");
  ASSERT_EQ(errors.size(), 3U);
  EXPECT_EQ(errors[0].kind, SettingErrorKind::kBadDeclaration);
}

TEST_F(SettingsReaderTest, WritesTheReference) {
  std::ostringstream out;
  reader_.WriteReference(out);
  EXPECT_THAT(out.str(), HasSubstr("| `node` | text | 1 to 8 bytes | required "
                                   "| Its id. |\n"));
  EXPECT_THAT(out.str(), HasSubstr("| `limits.queue_wait_ms` | number | 1 to "
                                   "10000 | `250` | Longest wait. |\n"));
}

}  // namespace
}  // namespace gcw
