#include "programs/gcw_node/node_settings.h"

#include <gtest/gtest.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <string>

namespace gcw {
namespace {

class NodeSettingsTest : public testing::Test {
 protected:
  NodeSettingsTest()
      : folder_(std::filesystem::path(testing::TempDir()) /
                ("node-settings-" + std::to_string(getpid()))) {
    std::filesystem::create_directories(folder_);
    Write("secret", "a-secret-of-this-test");
  }
  ~NodeSettingsTest() override { std::filesystem::remove_all(folder_); }

  std::string Write(const std::string& name, const std::string& text) {
    const std::filesystem::path path = folder_ / name;
    std::ofstream(path) << text;
    return path.string();
  }

  std::vector<SettingError> ErrorsWith(const std::string& more) {
    const auto read = ReadNodeSettings(Write(
        "node.toml",
        "node.id = \"n1\"\nnode.zone = \"z\"\nnode.region = \"r\"\n"
        "peers.secret_file = \"secret\"\n"
        "operators.credential_file = \"secret\"\n"
        "store.address = \"127.0.0.1:1\"\nvm_list.address = \"127.0.0.1:2\"\n"
        "weights.address = \"127.0.0.1:3\"\n" +
            more));
    const auto* errors = std::get_if<std::vector<SettingError>>(&read);
    return errors == nullptr ? std::vector<SettingError>() : *errors;
  }

 private:
  std::filesystem::path folder_;
};

TEST_F(NodeSettingsTest, DefaultsAreValid) {
  EXPECT_TRUE(ErrorsWith("").empty());
}

// Guards against settings with which no replica group ever starts and nothing
// is logged. An order is sent only while the lease outlives the order's timeout
// and margin; with a lease of 3 s, a node became a controller and wrote the
// record of a group, but never sent the load orders.
TEST_F(NodeSettingsTest, RejectsLeaseTooShortForOrders) {
  const std::vector<SettingError> errors = ErrorsWith(
      "lease.time_to_live_ms = 3000\nlease.renew_interval_ms = 800\n"
      "lease.margin_ms = 800\norders.takeover_wait_ms = 3000\n");
  ASSERT_EQ(errors.size(), 1U);
  EXPECT_EQ(errors[0].key, "lease.time_to_live_ms");
}

// Guards against a node that crashes about a second after each start with its
// secret in the log: the secret contains bytes that are not allowed in a
// header, the settings check tests only its length, and the first call to a
// peer ends the process.
TEST_F(NodeSettingsTest, RejectsSecretInvalidInHeader) {
  Write("secret", "a-secret-\x01-\xc3\xa9-of-this-test");
  const std::vector<SettingError> errors = ErrorsWith("");
  ASSERT_EQ(errors.size(), 1U);
  EXPECT_EQ(errors[0].key, "peers.secret_file");
  EXPECT_EQ(errors[0].value, "(withheld)");
}

TEST_F(NodeSettingsTest, RejectsMalformedSeedAndDistance) {
  const std::vector<SettingError> errors = ErrorsWith(
      "peers.seeds = [\"no-address\"]\nzones.distances = [\"z2=far\"]\n");
  EXPECT_EQ(errors.size(), 2U);
}

}  // namespace
}  // namespace gcw
