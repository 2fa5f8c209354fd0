#include "LibSchedule/FleetLog.h"
#include "LibSchedule/JobRecords.h"
#include "LibSchedule/QuotaLog.h"
#include "LibSchedule/RelayMessages.h"
#include "platform/ExecutorWire.h"
#include "platform/ExternalRecordsWire.h"
#include "platform/JobWire.h"
#include "platform/JsonReading.h"
#include "platform/MachineWire.h"
#include "platform/PreviewPage.h"
#include "platform/Settings.h"
#include "platform/StoreWire.h"

#include <absl/strings/escaping.h>
#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace sesameseam;
using namespace sesameseam::schedule;
using namespace sesameseam::platform;

namespace {

constexpr std::size_t kDeep = 250'000;

std::string
ManifestText()
{
  return R"({"version":7,"routes":[{"name":"q","host":"x","prefix":"/a/","service":"s",)"
         R"("targetRuntimeMs":600,"attempts":3,"priority":1,"stretch":1.5,"public":true}],)"
         R"("services":[{"name":"s","standby":false}],"tenants":[{"name":"t","weight":1.5,)"
         R"("apiKeys":["k"],"maxCount":{"cpu":1,"memMb":2,"gpu":3}}]})";
}

std::string
WaveText()
{
  return R"({"wave":3,"machines":["m1","m2"],"durationS":20.5,"maxCount":2})";
}

std::string
EntryText()
{
  return R"({"service":"s","address":"10.0.0.1:80","zone":"z","state":"ready","born":1700000000000,)"
         R"("room":{"cpu":8000,"memMb":64000,"gpu":1},"labels":["kind-a","r1-1"],"seq":5})";
}

std::string
SubmissionText()
{
  return R"({"spec":"text","steps":[{"count":4,"cpu":500,"memMb":256,"estimateMs":900,)"
         R"("affinity":"r1","gang":true,"optional":1},{"count":2,"after":[0],"checkpoint":true}],)"
         R"("runCount":2,"startTimeMs":1700000000000,"intervalMs":1000})";
}

std::string
HeartbeatText()
{
  return R"({"clockMs":482113,"born":1700000000000,"running":[["5c0e7a21d94b36f8.0.1.17",2,"c",41,9]],)"
         R"("finished":[[58,"5c0e7a21d94b36f8.0.1.9",1,"done",""]]})";
}

ExternalRecords
DecodeExternal(Stream aStream, const std::string& aKey, const std::string& aValue)
{
  ExternalRecords records;
  DecodeExternalRecords(aStream, { { aKey, aValue, 0 } }, records);
  return records;
}

template<typename Answer>
Answer
AnswerOf(void (*aDecode)(int, std::string_view, Answer&), const std::string& aBody)
{
  Answer answer;
  aDecode(200, aBody, answer);
  return answer;
}

// Hands a text to every decoder of JSON that others have written.
void
DecodeEverywhere(const std::string& aText)
{
  DecodeSubmission(aText).IgnoreError();
  DecodeExternal(Stream::Operator, "config", aText);
  DecodeExternal(Stream::Operator, "wave/3", aText);
  DecodeExternal(Stream::Executors, "i-1", aText);
  AnswerOf(&DecodeHeartbeat, aText);
  AnswerOf(&DecodeStart, aText);
  AnswerOf(&DecodeAppend, aText);
  AnswerOf(&DecodeRead, aText);
  AnswerOf(&DecodeNewest, aText);
  AnswerOf(&DecodeOwners, aText);
  AnswerOf(&DecodeJoin, aText);
  AnswerOf(&DecodeMaintenanceOrder, aText);
  MachinePages pages;
  MachinesAnswer machines;
  DecodeMachines(200, aText, pages, machines);
  FromJson<Settings>(aText).IgnoreError();
  Node node = MakeNode({});
  AnswerPreview(node, {}, "host=x&path=/a/", aText);
}

// Hands bytes to every decoder of records and messages that entry hosts write.
void
DecodeRecordsEverywhere(const std::string& aBytes)
{
  DecodeJob(aBytes).IgnoreError();
  DecodeProgress(aBytes).IgnoreError();
  DecodeJobState(aBytes).IgnoreError();
  DecodeStateCoverage(aBytes).IgnoreError();
  DecodeLeaseExpiry(aBytes).IgnoreError();
  DecodeRelayRequest(aBytes).IgnoreError();
  DecodeRelayResponse(aBytes).IgnoreError();
  QuotaBook book;
  ApplyQuotaRecord(book, "0/t", aBytes).IgnoreError();
  ReadAnswer read;
  DecodeRead(200, aBytes, read);
}

std::string
MachineListText()
{
  return R"({"machines":[{"machine":"m1","pool":"p","state":"up","id":"i-1"}],"nextToken":"t"})";
}

std::string
NewestText()
{
  return R"({"items":[{"key":"i-1","value":")" + absl::Base64Escape(EntryText()) +
         R"(","offset":5}],"hasMore":false,"end":6})";
}

std::string
OwnersText()
{
  return R"({"owners":[["jobs",3,"e1/127.0.0.1:80/500",7]],"parts":[["jobs",3,7]],"generation":4})";
}

// What is put into a sound text, at any place.
rc::Gen<std::string>
Disturbance()
{
  return rc::gen::oneOf(rc::gen::container<std::string>(rc::gen::arbitrary<char>()),
                        rc::gen::element<std::string>("1e308",
                                                      "-1e308",
                                                      "1e999",
                                                      "9223372036854775808",
                                                      "-9223372036854775809",
                                                      "18446744073709551615",
                                                      "4294967296",
                                                      "2147483648",
                                                      "-1",
                                                      "0.5",
                                                      "null",
                                                      "\"\\u0000\"",
                                                      "\"\\ud800\"",
                                                      "\xff\xfe",
                                                      std::string(1, '\0'),
                                                      std::string(200, '['),
                                                      std::string(200, '{'),
                                                      "{}",
                                                      "[]",
                                                      "\"\"",
                                                      "true"));
}

// Replaces some bytes of a text, once or a few times.
std::string
Disturb(std::string aText)
{
  auto times = *rc::gen::inRange(1, 4);
  for (int i = 0; i < times; ++i) {
    auto at = *rc::gen::inRange<std::size_t>(0, aText.size() + 1);
    auto length = *rc::gen::inRange<std::size_t>(0, 12);
    aText.replace(at, length, *Disturbance());
  }
  return aText;
}

// Replaces a whole number or a word of a JSON text, so that it mostly remains JSON.
std::string
DisturbValue(const std::string& aText)
{
  std::vector<std::size_t> values;
  for (std::size_t i = 0; i + 1 < aText.size(); ++i) {
    if (aText[i] == ':' || (aText[i] == ',' && aText[i + 1] != '"')) {
      values.push_back(i + 1);
    }
  }
  auto at = *rc::gen::elementOf(values);
  auto end = aText.find_first_of(",]}", at);
  auto text = aText;
  return text.replace(at, std::min(end, text.size()) - at, *Disturbance());
}

}

BOOST_AUTO_TEST_SUITE(ForeignInput)

// Guards against hosts that end, one after the other, by what a caller or another writer sends.
BOOST_AUTO_TEST_CASE(json_that_is_nested_without_end_ends_no_host)
{
  for (const auto* opening : { "[", "{\"a\":", "[[{\"a\":" }) {
    std::string text;
    while (text.size() < kDeep) {
      text += opening;
    }
    DecodeEverywhere(text);
    DecodeEverywhere(R"({"spec":"x","steps":)" + text);
    DecodeEverywhere(R"({"running":)" + text);
  }
  auto job = DecodeSubmission(std::string(kDeep, '['));
  BOOST_REQUIRE(!job.ok());
  BOOST_TEST((KindOf(job.status()) == ErrorKind::BadField));
  BOOST_TEST(job.status().message().find("levels deep") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(an_unreadable_entry_costs_itself_alone)
{
  std::vector<KeyedRecord> entries{ { "i-1", EntryText(), 0 },
                                    { "i-2", std::string(kDeep, '['), 1 },
                                    { "i-3", EntryText() + "\xff", 2 },
                                    { "i-4", EntryText(), 3 } };
  ExternalRecords records;
  DecodeExternalRecords(Stream::Executors, entries, records);
  BOOST_TEST(records.mExecutors.size() == 2u);
  BOOST_TEST((records.mUnreadable == std::vector<std::string>{ "i-2", "i-3" }));
}

BOOST_AUTO_TEST_CASE(depth_up_to_the_bound_is_read)
{
  rapidjson::Document document;
  auto nested = [](std::size_t aDepth) {
    return std::string(aDepth, '[') + std::string(aDepth, ']');
  };
  BOOST_TEST(ParseJson(nested(kMaxJsonDepth), document, TextCheck::None).ok());
  BOOST_TEST(!ParseJson(nested(kMaxJsonDepth + 1), document, TextCheck::None).ok());
  // Brackets in strings, and those side by side, are no depth.
  std::string many = "[\"" + std::string(1000, '[') + "\"";
  for (int i = 0; i < 1000; ++i) {
    many += ",[]";
  }
  BOOST_TEST(ParseJson(many + "]", document, TextCheck::None).ok());
}

BOOST_AUTO_TEST_CASE(bytes_after_a_zero_byte_are_not_passed_over)
{
  std::string body = R"({"spec":"x","steps":[{"count":1}]})";
  BOOST_TEST(DecodeSubmission(body).ok());
  BOOST_TEST(!DecodeSubmission(body + std::string("\0more", 5)).ok());
  BOOST_TEST(!DecodeSubmission(body + "more").ok());
}

BOOST_AUTO_TEST_CASE(a_submission_that_is_not_utf8_is_refused)
{
  BOOST_TEST(!DecodeSubmission("{\"spec\":\"\xff\",\"steps\":[{\"count\":1}]}").ok());
  auto job = DecodeSubmission("{\"spec\":\"\xc3\xa9\\u0000b\",\"steps\":[{\"count\":1}]}");
  BOOST_REQUIRE(job.ok());
  BOOST_TEST(job->mSpec == std::string("\xc3\xa9\0b", 4));
}

BOOST_AUTO_TEST_CASE(members_of_another_type_are_refused_and_not_left_out)
{
  for (const auto* member : { R"("gang":"yes")",
                              R"("daemon":1)",
                              R"("checkpoint":[])",
                              R"("requires":{})",
                              R"("affinity":7)",
                              R"("image":true)" }) {
    auto body = R"({"spec":"x","steps":[{"count":1,)" + std::string(member) + "}]}";
    BOOST_TEST(!DecodeSubmission(body).ok(), body);
  }
  for (const auto* start : { "1e300", "-1", "9223372036854775807", "\"soon\"", "0.5" }) {
    auto body =
      R"({"spec":"x","steps":[{"count":1}],"runCount":1,"startTimeMs":)" + std::string(start) + "}";
    BOOST_TEST(!DecodeSubmission(body).ok(), body);
  }
  BOOST_TEST(DecodeSubmission(R"({"spec":"x","steps":[{"count":1,"gang":null}]})").ok());
}

BOOST_AUTO_TEST_CASE(the_first_of_members_with_the_same_name_counts)
{
  auto job = DecodeSubmission(R"({"spec":"a","spec":"b","steps":[{"count":1,"count":2}]})");
  BOOST_REQUIRE(job.ok());
  BOOST_TEST(job->mSpec == "a");
  BOOST_TEST(job->mSteps[0].mCount == 1);
}

BOOST_AUTO_TEST_CASE(numbers_beyond_their_type_are_no_other_numbers)
{
  rapidjson::Document document;
  BOOST_REQUIRE(
    ParseObject(
      R"({"a":1e300,"b":-1e300,"c":18446744073709551615,"d":2.0,"e":9223372036854775807})",
      document)
      .ok());
  for (const auto* name : { "a", "b", "c" }) {
    BOOST_TEST(!IntegerMember(document, name).has_value());
  }
  BOOST_TEST(IntegerMember(document, "d").value() == 2);
  BOOST_TEST(SmallIntegerOr(document, "e", 0) == std::numeric_limits<int>::max());
  BOOST_TEST((MillisecondsOr(document, "e", 0ms) == kMaxMilliseconds));
  BOOST_TEST(NearestInteger(1e300) == std::numeric_limits<std::int64_t>::max());
  BOOST_TEST(NearestInteger(-1e300) == std::numeric_limits<std::int64_t>::min());
}

BOOST_AUTO_TEST_CASE(a_row_with_an_impossible_run_is_left_out)
{
  auto answer = AnswerOf(&DecodeHeartbeat,
                         std::string(R"({"running":[["5c0e7a21d94b36f8.0.1.17",4294967297,"",100],)"
                                     R"(["5c0e7a21d94b36f8.0.1.17",2,"a\u0000b",1e300]]})"));
  BOOST_TEST(answer.mUnreadable == 1);
  BOOST_REQUIRE(answer.mRunning.size() == 1u);
  BOOST_TEST(answer.mRunning[0].mCheckpoint == std::string("a\0b", 3));
  BOOST_TEST(answer.mRunning[0].mPercent == 100);
}

// Guards against a few bytes that make a host reserve gigabytes.
BOOST_AUTO_TEST_CASE(a_record_does_not_choose_how_much_memory_is_reserved)
{
  // A list of 80 million items where a job has its steps.
  std::string steps = EncodeJob({});
  BOOST_TEST(DecodeJob(steps).ok());
  std::string huge("\x18\x00\x18\x00\x18\x00\x19\xfc\x80\xa8\x92\x26", 12);
  BOOST_TEST(!DecodeJob(huge).ok());
  BOOST_TEST(!DecodeProgress(std::string("\x15\x00\x29\xfc\x80\xa8\x92\x26", 8)).ok());
}

BOOST_AUTO_TEST_CASE(no_text_ends_a_host)
{
  rc::check("any text in the place of JSON is read or refused", [] {
    auto sound = *rc::gen::element(ManifestText(),
                                   WaveText(),
                                   EntryText(),
                                   SubmissionText(),
                                   HeartbeatText(),
                                   MachineListText(),
                                   NewestText(),
                                   OwnersText());
    constexpr int kTexts = 20;
    for (int i = 0; i < kTexts; ++i) {
      DecodeEverywhere(Disturb(sound));
      DecodeEverywhere(DisturbValue(sound));
    }
  });
}

BOOST_AUTO_TEST_CASE(no_bytes_of_a_record_end_a_host)
{
  JobDefinition job;
  job.mSpec = "text";
  job.mSteps.resize(2);
  JobProgress progress;
  progress.mTasks.push_back({ .mHighestRun = 2, .mCheckpoint = "c" });
  RelayRequest request;
  request.mOwner = "e1";
  rc::check("any bytes in the place of a record are read or refused", [&] {
    auto sound = *rc::gen::element(
      EncodeJob(job), EncodeProgress(progress), EncodeJobState({}), EncodeRelayRequest(request));
    constexpr int kTexts = 20;
    for (int i = 0; i < kTexts; ++i) {
      DecodeRecordsEverywhere(Disturb(sound));
    }
  });
}

BOOST_AUTO_TEST_SUITE_END()
