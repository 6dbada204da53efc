#include "state/route_table.h"

#include <gtest/gtest.h>

namespace gcw {
namespace {

RouteRule Rule(const std::string& name, const std::string& prefix) {
  RouteRule rule;
  rule.name = name;
  rule.host = "h";
  rule.prefix = prefix;
  return rule;
}

TEST(RouteTableTest, FindsTheLongestPrefixOfTheHost) {
  FleetConfiguration configuration;
  configuration.routes = {Rule("root", "/"), Rule("a", "/a/"),
                          Rule("ab", "/a/b/")};
  const RouteTable table(std::move(configuration));
  EXPECT_EQ(table.Find("h", "/a/b/c")->name, "ab");
  EXPECT_EQ(table.Find("h", "/a/b")->name, "a");
  EXPECT_EQ(table.Find("h", "/a/")->name, "a");
  EXPECT_EQ(table.Find("h", "/x")->name, "root");
  EXPECT_EQ(table.Find("other", "/a/b/c"), nullptr);
  EXPECT_EQ(table.Find("h", ""), nullptr);
}

TEST(RouteTableTest, FindsTheCustomerOfAKey) {
  FleetConfiguration configuration;
  configuration.customers = {{CustomerId("c"), {"k1", "k2"}, Rank(1)}};
  const RouteTable table(std::move(configuration));
  EXPECT_EQ(table.FindCustomer("k2")->customer, CustomerId("c"));
  EXPECT_EQ(table.FindCustomer("k3"), nullptr);
  EXPECT_TRUE(table.needs_keys());
}

}  // namespace
}  // namespace gcw
