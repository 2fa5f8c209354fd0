#include "LibDaemon/Settings.h"

#include "LibFleet/Validate.h"

#include <boost/test/unit_test.hpp>
#include <filesystem>

using namespace sesameseam;

namespace {

const std::string kRoot = SESAMESEAM_SOURCE_DIRECTORY;

JsonValue
ValidSettings()
{
  auto json = ParseJson(R"({
    "deployment": "balai", "name": "entry-semarang-1", "zone": "semarang",
    "caller_address": "10.1.0.11:8080", "operator_address": "10.1.9.11:8081",
    "peer_address": "10.1.9.11:8082", "platform_address": "10.1.9.5:9000",
    "operator_token_file": "/etc/sesameseam/token" })");
  return *json;
}

void
Set(JsonValue& aJson, const std::string& aKey, const JsonValue& aValue)
{
  for (auto& member : aJson.mMembers) {
    if (member.mName == aKey) {
      member.mValue = aValue;
      return;
    }
  }
  aJson.Add(aKey) = aValue;
}

std::string
MessageOf(const JsonValue& aJson)
{
  auto settings = ParseSettings(PrintJson(aJson));
  BOOST_TEST((settings.ok() || KindOf(settings.status()) == ErrorKind::BadSettings));
  return std::string(settings.status().message());
}

void
CheckContains(const std::string& aMessage, const std::string& aText)
{
  BOOST_TEST(aMessage.find(aText) != std::string::npos, aMessage << " lacks " << aText);
}

}

BOOST_AUTO_TEST_SUITE(TestSettings)

BOOST_AUTO_TEST_CASE(ValidSettingsAreAccepted)
{
  BOOST_TEST(ParseSettings(PrintJson(ValidSettings())).ok());
}

BOOST_AUTO_TEST_CASE(AllProblemsAreReportedAtOnce)
{
  auto json = ValidSettings();
  Set(json, "max_queud", JsonInteger(5));
  Set(json, "max_requests", JsonString("many"));
  Set(json, "max_body_bytes", JsonInteger(0));
  Set(json, "view_stale_after", JsonInteger(2));
  Set(json, "report_interval", JsonString("5s"));
  Set(json, "peer_address", JsonString("entry-host:8082"));
  Set(json, "zone", JsonString(""));
  auto message = MessageOf(json);
  for (const auto* key : { "max_queud",
                           "max_requests",
                           "max_body_bytes",
                           "view_stale_after",
                           "report_interval",
                           "peer_address",
                           "zone" }) {
    CheckContains(message, key);
  }
  CheckContains(message, "with its unit");
}

BOOST_AUTO_TEST_CASE(EachMissingRequiredKeyIsReported)
{
  auto message = MessageOf(*ParseJson("{}"));
  for (const auto& description : DescribeSettings()) {
    auto first = message.find(description.mKey + ":");
    BOOST_TEST((first != std::string::npos) == description.mRequired, description.mKey);
  }
}

BOOST_AUTO_TEST_CASE(InconsistentSettingsAreRejected)
{
  auto json = ValidSettings();
  Set(json, "member_timeout", JsonString("1s"));
  CheckContains(MessageOf(json), "member_timeout: must be at least view_stale_after");
  json = ValidSettings();
  Set(json, "operator_address", JsonString("10.1.0.11:8080"));
  CheckContains(MessageOf(json), "operator_address: must differ from caller_address");
}

BOOST_AUTO_TEST_CASE(WildcardOperatorAndPeerAddressesAreRejected)
{
  auto json = ValidSettings();
  Set(json, "operator_address", JsonString("0.0.0.0:8081"));
  Set(json, "peer_address", JsonString("0.0.0.0:8082"));
  auto message = MessageOf(json);
  CheckContains(message, "operator_address: must name one address");
  CheckContains(message, "peer_address: must name one address");
}

BOOST_AUTO_TEST_CASE(DuplicateKeysAreRejected)
{
  auto text = PrintJson(ValidSettings());
  text.insert(text.size() - 1, R"(, "zone": "solo")");
  auto settings = ParseSettings(text);
  BOOST_REQUIRE(!settings.ok());
  CheckContains(std::string(settings.status().message()), "zone: stands twice");
}

BOOST_AUTO_TEST_CASE(SettingsPageMatchesDescriptions)
{
  auto page = ReadFile(kRoot + "/docs/SETTINGS.md");
  BOOST_REQUIRE(page.ok());
  for (const auto& description : DescribeSettings()) {
    if (description.mType == "number" || description.mType == "duration") {
      BOOST_TEST(!description.mRange.empty(), description.mKey << " has no range");
    }
    CheckContains(*page,
                  "| `" + description.mKey + "` | " + description.mType + " | " +
                    description.mDefault + " | " + description.mRange + " |");
  }
}

BOOST_AUTO_TEST_CASE(ExampleFilesAreValid)
{
  int settingsFiles = 0;
  int poolFiles = 0;
  for (const auto* deployment : { "balai", "anaa" }) {
    std::set<std::string> zones;
    for (const auto& entry :
         std::filesystem::directory_iterator(kRoot + "/Examples/" + deployment)) {
      auto name = entry.path().filename().string();
      if (name.starts_with("entry-")) {
        auto settings = LoadSettings(entry.path());
        BOOST_REQUIRE_MESSAGE(settings.ok(), settings.status().message());
        BOOST_TEST(settings->mDeployment == deployment);
        zones.insert(settings->mZone);
        settingsFiles += 1;
      } else if (name.starts_with("pool-")) {
        auto pool = FromJson<PoolDefined>(*ReadFile(entry.path()));
        BOOST_REQUIRE_MESSAGE(pool.ok(), name << ": " << pool.status().message());
        auto status = ValidateChange(*pool);
        BOOST_TEST(status.ok(), name << ": " << status.message());
        poolFiles += 1;
      }
    }
    BOOST_TEST(zones.size() == 3U);
  }
  BOOST_TEST(settingsFiles == 6);
  BOOST_TEST(poolFiles == 10);
}

BOOST_AUTO_TEST_SUITE_END()
