#include <gtest/gtest.h>

#include <csignal>
#include <fstream>
#include <iterator>
#include <map>
#include <set>
#include <sstream>
#include <string>
#include <variant>
#include <vector>

#include "programs/gcw_gateway/gateway_settings.h"
#include "tests/support/gateway_path.h"
#include "tests/support/process_fleet.h"
#include "tests/support/settings_template.h"

namespace gcw {
namespace {

using Values = std::map<std::string, std::string>;

std::string ReadTemplate() {
  std::ifstream file(GCW_SOURCE_FOLDER "/deploy/gateway.toml.template");
  return {std::istreambuf_iterator<char>(file), {}};
}

Values RequiredValues() {
  return {{"node_name", "gw-1"},
          {"zone", "zone-1"},
          {"region", "region-1"},
          {"ip", "127.0.0.1"},
          {"listen.front", "127.0.0.1:1"},
          {"listen.readiness", "127.0.0.1:2"},
          {"listen.directory", "127.0.0.1:3"},
          {"listen.control", "127.0.0.1:4"},
          {"platform.address", "127.0.0.1:5"},
          {"contracts", "base"},
          {"seed_nodes", "127.0.0.1:4"}};
}

class GatewayTemplateTest : public testing::Test {
 protected:
  std::variant<GatewayProcessSettings, std::vector<SettingError>> Read(
      const Values& figures) {
    Values values = RequiredValues();
    values.insert(figures.begin(), figures.end());
    folder_.Write("gateway.toml", template_.Fill(values));
    return ReadGatewaySettings(folder_.File("gateway.toml").string());
  }

  // Returns all errors, a line each.
  std::string ErrorsOf(const Values& figures) {
    const auto read = Read(figures);
    std::ostringstream lines;
    if (const auto* errors = std::get_if<std::vector<SettingError>>(&read)) {
      for (const SettingError& error : *errors) {
        lines << error << '\n';
      }
    }
    return lines.str();
  }

  std::set<std::string> Figures() const {
    std::set<std::string> figures = template_.FieldsBelow("bounds");
    figures.merge(template_.FieldsBelow("limits"));
    return figures;
  }

  TemporaryFolder folder_;
  SettingsTemplate template_{ReadTemplate()};
};

// Guards against a figure of the platform that keeps all nodes from starting.
TEST_F(GatewayTemplateTest, NodesStartWithAnyFigureOfThePlatform) {
  EXPECT_EQ(ErrorsOf({}), "");
  ASSERT_FALSE(Figures().empty());
  for (const std::string& figure : Figures()) {
    for (const char* value : {"0", "0.0", "1", "7", "7.0", "7.5", "0.001",
                              "2000.25", "90", "5000000", "1e+06"}) {
      EXPECT_EQ(ErrorsOf({{figure, value}}), "") << figure << " = " << value;
    }
  }
}

// Guards against figures that are read in another unit than the platform's.
TEST_F(GatewayTemplateTest, FiguresKeepTheirUnits) {
  const auto read = Read({{"bounds.grace_s", "7.5"},
                          {"bounds.retry_window_s", "0.25"},
                          {"bounds.drain_ms", "1999.6"},
                          {"bounds.config_ms", "3000"},
                          {"bounds.retry_ratio", "0.3"},
                          {"limits.cpu_quota", "0.084"}});
  const auto* settings = std::get_if<GatewayProcessSettings>(&read);
  ASSERT_NE(settings, nullptr);
  EXPECT_EQ(settings->core.stop_grace_period, Duration::Millis(7500));
  EXPECT_EQ(settings->core.retries.window, Duration::Millis(250));
  EXPECT_EQ(settings->core.mirror.max_propagation_delay,
            Duration::Millis(2000));
  EXPECT_EQ(settings->core.retries.ratio, 0.3);
  EXPECT_EQ(settings->core.self.weight, 8);
}

TEST_F(GatewayTemplateTest, InvalidFiguresAreNamedWithTheirRange) {
  for (const std::string& figure : Figures()) {
    for (const char* value : {"-1", "nan", "true", "\"soon\""}) {
      const auto read = Read({{figure, value}});
      const auto* errors = std::get_if<std::vector<SettingError>>(&read);
      ASSERT_NE(errors, nullptr) << figure << " = " << value;
      ASSERT_EQ(errors->size(), 1U) << figure << " = " << value;
      EXPECT_EQ(errors->front().value, value);
      EXPECT_NE(errors->front().key, "");
      EXPECT_NE(errors->front().allowed.find("0 to "), std::string::npos)
          << errors->front();
    }
  }
}

class GatewayReloadTest : public GatewayPathTest {
 protected:
  GatewayReloadTest() : GatewayPathTest({"--domains", "0", "--plain", "3"}) {}

  // Changes the settings file of a running gateway and returns what it logs
  // when it is told so.
  std::string Reload(const std::string& more) {
    const std::string file = "gw-1.toml";
    fleet_.folder().Write(file, fleet_.folder().Read(file) + more);
    fleet_.Signal("gw-1", SIGHUP);
    std::string output;
    fleet_.WaitUntil([&] {
      output += fleet_.TakeOutput("gw-1");
      return output.find("settings_reloaded") != std::string::npos;
    });
    return output;
  }
};

// Guards against nodes that end, or stop serving, because of a settings file
// that they refuse.
TEST_F(GatewayReloadTest, RefusedSettingsAreLoggedAndLeaveTheOldOnesInForce) {
  ASSERT_TRUE(MayRetrySafeRequests(1));
  const std::string valid = Reload("[stop]\ngrace_s = 7.5\n");
  EXPECT_EQ(valid.find("setting_invalid"), std::string::npos) << valid;
  const std::string invalid = Reload("refuses_after_ms = -1\n");
  EXPECT_NE(invalid.find("stop.refuses_after_ms = -1: out of range; "
                         "number, 10 to 60000"),
            std::string::npos)
      << invalid;
  EXPECT_EQ(SendRequest(first_.callers, "safe").status, 200);
  EXPECT_FALSE(fleet_.HasEnded("gw-1"));
}

// Guards against gateways that start with a figure and then fail to serve.
TEST_F(GatewayReloadTest, GatewaysServeWithUnusualFigures) {
  first_ = fleet_.StartGateway(
      "gw-1", store_,
      "leaving_known_within_ms = 0\nconfiguration_known_within_ms = 1e6\n"
      "[retries]\nratio = 1e6\nslack = 1e6\nwindow_s = 0\n"
      "[warm_up]\novershoot = 0\nslack = 1e6\n[stop]\ngrace_s = 0.5\n");
  EXPECT_TRUE(fleet_.WaitUntil(
      [this] { return SendRequest(first_.callers, "safe").status == 200; }));
}

}  // namespace
}  // namespace gcw
