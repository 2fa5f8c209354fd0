#include "LibSchedule/Authentication.h"
#include "platform/ExecutorWire.h"
#include "platform/ExternalRecordsWire.h"
#include "platform/JobWire.h"
#include "platform/LogEntryFormat.h"
#include "platform/MachineWire.h"
#include "platform/Settings.h"
#include "platform/StoreWire.h"

#include <boost/test/unit_test.hpp>
#include <cstdio>
#include <fstream>
#include <rapidcheck.h>

using namespace sesameseam;
using namespace sesameseam::schedule;
using namespace sesameseam::platform;

BOOST_AUTO_TEST_SUITE(TheWire)

BOOST_AUTO_TEST_CASE(submission_of_a_job_is_decoded)
{
  auto job = DecodeSubmission(
    R"({"spec":"text","steps":[{"count":4,"cpu":500,"memMb":256,"estimateMs":900,)"
    R"("affinity":"r1-3"},{"count":20,"cpu":2000,"memMb":1024,"estimateMs":7000,"after":[0],)"
    R"("checkpoint":true,"daemon":true,"optional":2}]})");
  BOOST_REQUIRE(job.ok());
  BOOST_REQUIRE(job->mSteps.size() == 2u);
  BOOST_TEST(job->mSteps[0].mPreferredRack == "r1-3");
  BOOST_TEST(job->mSteps[1].mNeeds.mCpuMillicores == 2000);
  BOOST_TEST(job->mSteps[1].mLongRunning);
  BOOST_TEST(job->mSteps[1].mMaxUnavailable == 2);
  BOOST_TEST((job->mSteps[1].mDependsOn == std::vector<int>{ 0 }));
}

BOOST_AUTO_TEST_CASE(invalid_submissions_are_refused_with_a_reason)
{
  for (const auto* body : { "",
                            "[]",
                            "{",
                            R"({"spec":1,"steps":[]})",
                            R"({"spec":"x"})",
                            R"({"spec":"x","steps":[1]})",
                            R"({"spec":"x","steps":[{"count":-1}]})",
                            R"({"spec":"x","steps":[{"count":1,"cpu":99999999999}]})",
                            R"({"spec":"x","steps":[{"count":1,"after":["a"]}]})" }) {
    auto job = DecodeSubmission(body);
    BOOST_TEST(!job.ok());
    BOOST_TEST((KindOf(job.status()) == ErrorKind::BadField));
  }
}

BOOST_AUTO_TEST_CASE(task_names_round_trip)
{
  TaskId name{ JobId("5c0e7a21d94b36f8"), 0, 1, 17 };
  BOOST_TEST(EncodeTaskName(name) == "5c0e7a21d94b36f8.0.1.17");
  auto again = DecodeTaskName(EncodeTaskName(name));
  BOOST_REQUIRE(again.ok());
  BOOST_TEST((*again == name));
  BOOST_TEST(!DecodeTaskName("5c0e.0.1").ok());
  BOOST_TEST(!DecodeTaskName("5c0e.0.x.1").ok());
}

BOOST_AUTO_TEST_CASE(records_round_trip)
{
  std::vector<LogRecord> records{ { "a", "one" }, { "bc", std::string("\0\xff", 2) }, { "d", "" } };
  ReadAnswer answer;
  answer.mCall.mStream = Stream::Jobs;
  answer.mCall.mFrom = 40;
  std::string body = std::string("\0\0\0\0\0\0\0\x2b", 8) + std::string("\0\0\0\0\0\0\0\x28", 8);
  DecodeRead(200, body + EncodeRecords(records), answer);
  BOOST_TEST((answer.mResult == CallResult::Done));
  BOOST_TEST(answer.mEnd == 43);
  BOOST_REQUIRE(answer.mRecords.size() == 3u);
  BOOST_TEST(answer.mRecords[1].mKey == "bc");
  BOOST_TEST(answer.mRecords[1].mValue == records[1].mValue);
  BOOST_TEST(answer.mRecords[2].mOffset == 42);
  BOOST_TEST(answer.mRecords[2].mValue.empty());
}

BOOST_AUTO_TEST_CASE(append_answers_are_decoded)
{
  AppendAnswer answer;
  DecodeAppend(200, R"({"offset":840,"end":842})", answer);
  BOOST_TEST((answer.mResult == CallResult::Done));
  BOOST_TEST(answer.mOffset == 840);
  DecodeAppend(409, R"({"reason":"fenced"})", answer);
  BOOST_TEST((answer.mRefusal == AppendRefusal::Fenced));
  DecodeAppend(409, R"({"reason":"seq","seq":7})", answer);
  BOOST_TEST((answer.mRefusal == AppendRefusal::Sequence));
  BOOST_TEST(answer.mExpectedSequence == 7);
  DecodeAppend(412, R"({"end":9})", answer);
  BOOST_TEST((answer.mRefusal == AppendRefusal::EndMismatch));
  BOOST_TEST(answer.mEnd == 9);
  DecodeAppend(503, "", answer);
  BOOST_TEST((answer.mResult == CallResult::Refused));
  // An invalid answer doesn't tell whether the append was executed.
  DecodeAppend(500, "", answer);
  BOOST_TEST((answer.mResult == CallResult::Unanswered));
  DecodeAppend(200, "{", answer);
  BOOST_TEST((answer.mResult == CallResult::Unanswered));
}

BOOST_AUTO_TEST_CASE(heartbeat_answers_are_decoded)
{
  HeartbeatAnswer answer;
  DecodeHeartbeat(200,
                  R"({"clockMs":482113,"born":1700000000000,)"
                  R"("running":[["5c0e7a21d94b36f8.0.1.17",2,"00000bb87a21d94b",41,80]],)"
                  R"("finished":[[58,"5c0e7a21d94b36f8.0.1.9",1,"done",""],[59,"x",1,"done",""]]})",
                  answer);
  BOOST_TEST((answer.mResult == CallResult::Done));
  BOOST_TEST(answer.mIncarnation == 1700000000000);
  BOOST_REQUIRE(answer.mRunning.size() == 1u);
  BOOST_TEST(answer.mRunning[0].mPercent == 41);
  BOOST_TEST(answer.mRunning[0].mLoad == 80);
  BOOST_REQUIRE(answer.mEnds.size() == 1u);
  BOOST_TEST((answer.mEnds[0].mKind == EndKind::Done));
  BOOST_TEST(answer.mUnreadable == 1);
  HeartbeatAnswer fenced;
  DecodeHeartbeat(409, R"({"clockMs":1,"reason":"fence"})", fenced);
  BOOST_TEST(fenced.mFenced);
  BOOST_TEST(!fenced.mIsFromAnother);
  // Only this status says that the executor's process has ended.
  for (auto status : { 400, 404, 421, 429, 500, 503 }) {
    HeartbeatAnswer refused;
    DecodeHeartbeat(status, R"({"clockMs":1})", refused);
    BOOST_TEST(refused.mIsFromAnother == (status == 421));
  }
}

BOOST_AUTO_TEST_CASE(start_refusals_are_decoded)
{
  const std::pair<const char*, StartRefusal> reasons[] = { { "fence", StartRefusal::Fenced },
                                                           { "old", StartRefusal::StaleRun },
                                                           { "late", StartRefusal::LeaseExpired },
                                                           { "room",
                                                             StartRefusal::InsufficientCapacity } };
  for (const auto& [reason, refusal] : reasons) {
    StartAnswer answer;
    DecodeStart(409, std::string(R"({"clockMs":5,"reason":")") + reason + "\"}", answer);
    BOOST_TEST((answer.mRefusal == refusal));
    BOOST_TEST((answer.mResult == CallResult::Refused));
  }
  StartAnswer broken;
  DecodeStart(500, "", broken);
  BOOST_TEST((broken.mResult == CallResult::Unanswered));
}

BOOST_AUTO_TEST_CASE(unreadable_entries_are_skipped_and_the_others_kept)
{
  ReadNewestAnswer answer;
  answer.mCall.mStream = Stream::Executors;
  DecodeNewest(
    200,
    R"({"items":[{"key":"i-1","value":"bm90IGpzb24=","offset":1},{"key":"i-2","value":)"
    R"("eyJzZXJ2aWNlIjoicyIsImFkZHJlc3MiOiIxMC4wLjAuMTo4MCIsInN0YXRlIjoicmVhZHkiLCJyb29tIjp7ImNwdSI6MTYwMDAsIm1lbU1iIjozMjc2OCwiZ3B1IjowfSwibGFiZWxzIjpbImEiLCJyMS0yIl19",)"
    R"("offset":2}],"hasMore":false,"end":6})",
    answer);
  BOOST_REQUIRE(answer.mExternalRecords.mExecutors.size() == 1u);
  BOOST_TEST(answer.mExternalRecords.mExecutors[0].mId.mValue == "i-2");
  BOOST_TEST(answer.mExternalRecords.mExecutors[0].mCapacity.mCpuMillicores == 16000);
  BOOST_TEST(answer.mExternalRecords.mUnreadable.size() == 1u);
}

// After a loss of all hosts, partitions are listed without a member. They were once decoded as
// owned by a host without capacity, so that small hosts took over the shards before the large ones
// were back.
BOOST_AUTO_TEST_CASE(partitions_without_a_member_have_no_owner)
{
  OwnersAnswer answer;
  DecodeOwners(200, R"({"parts":[["keyed.jobs",0,"",0],["keyed.jobs",1,null,0]]})", answer);
  BOOST_TEST((answer.mResult == CallResult::Done));
  BOOST_TEST(answer.mOwners.empty());
}

BOOST_AUTO_TEST_CASE(decoders_accept_any_bytes_without_crashing)
{
  auto holds = rc::check([] {
    auto bytes = *rc::gen::string<std::string>();
    auto status = *rc::gen::element(200, 409, 410, 412, 500);
    HeartbeatAnswer hold;
    DecodeHeartbeat(status, bytes, hold);
    StartAnswer start;
    DecodeStart(status, bytes, start);
    AppendAnswer append;
    DecodeAppend(status, bytes, append);
    ReadAnswer read;
    DecodeRead(status, bytes, read);
    ReadNewestAnswer newest;
    DecodeNewest(status, bytes, newest);
    JoinAnswer join;
    DecodeJoin(status, bytes, join);
    MachinePages pages;
    MachinesAnswer machines;
    DecodeMachines(status, bytes, pages, machines);
    DecodeSubmission(bytes).IgnoreError();
  });
  BOOST_TEST(holds);
}

// Guards against a page of machines that is taken for the last one though a row differs, and
// against processor time for rows that are as before: they are to be the same objects.
BOOST_AUTO_TEST_CASE(a_page_of_machines_is_decoded_as_if_it_were_the_first)
{
  auto holds = rc::check([] {
    MachinePages known;
    std::vector<int> versions(8, 0);
    MachinesAnswer last;
    for (int k = 0; k < 6; ++k) {
      std::string rows;
      for (std::size_t i = 0; i < versions.size(); ++i) {
        versions[i] += *rc::gen::inRange(0, 4) == 0 ? 1 : 0;
        if (*rc::gen::inRange(0, 6) != 0) {
          rows += std::string(rows.empty() ? "" : ",") + R"({"machine":"m)" + std::to_string(i) +
                  R"(","pool":"p","state":"up","id":"x)" + std::to_string(versions[i]) + R"("})";
        }
      }
      auto body = R"({"machines":[)" + rows + R"(],"nextToken":"t"})";
      MachinePages none;
      MachinesAnswer fresh;
      MachinesAnswer answer;
      DecodeMachines(200, body, none, fresh);
      DecodeMachines(200, body, known, answer);
      RC_ASSERT(answer.mNextPage == fresh.mNextPage);
      RC_ASSERT(answer.mMachines.size() == fresh.mMachines.size());
      for (std::size_t i = 0; i < fresh.mMachines.size(); ++i) {
        RC_ASSERT(*answer.mMachines[i] == *fresh.mMachines[i]);
      }
      MachinesAnswer again;
      DecodeMachines(200, body, known, again);
      RC_ASSERT(again.mMachines == answer.mMachines);
      for (std::size_t i = 0; i < answer.mMachines.size() && i < last.mMachines.size(); ++i) {
        RC_ASSERT(answer.mMachines[i] == last.mMachines[i] ||
                  !(*answer.mMachines[i] == *last.mMachines[i]));
      }
      last = answer;
    }
  });
  BOOST_TEST(holds);
}

// Guards against an unreadable answer that is taken for an empty list of machines.
BOOST_AUTO_TEST_CASE(an_unreadable_page_of_machines_is_no_list)
{
  MachinePages pages;
  for (const auto* body : { "", "{", R"({"machines":[{"machine":"m1"}]})", "" }) {
    MachinesAnswer answer;
    DecodeMachines(200, body, pages, answer);
    auto isReadable = std::string(body).size() > 1;
    BOOST_TEST((answer.mResult == (isReadable ? CallResult::Done : CallResult::Unanswered)));
    BOOST_TEST(answer.mMachines.size() == (isReadable ? 1u : 0u));
  }
}

BOOST_AUTO_TEST_CASE(log_entry_is_formatted_as_one_json_object)
{
  LogEntry entry{ LogLevel::Info, "job-refused", "5c0e7a21d94b36f8" };
  entry.mReason = "the log \"does not\" answer\n";
  entry.mVersion = 7;
  auto text = FormatLogEntry(TimePoint(1s), "e1", entry);
  BOOST_TEST(text ==
             R"({"time_ms":1000,"level":"info","host":"e1","event":"job-refused",)"
             R"("job":"5c0e7a21d94b36f8","reason":"the log \"does not\" answer\n","version":7})");
}

BOOST_AUTO_TEST_CASE(every_invalid_setting_is_named)
{
  Settings settings;
  auto status = CheckSettings(settings);
  BOOST_TEST(!status.ok());
  for (const auto* name : { "name", "front", "ready", "store", "machines" }) {
    BOOST_TEST(status.message().find(name) != std::string::npos);
  }
  BOOST_TEST(!LoadSettings("/nonexistent/settings.json").ok());
}

// A deadline of 1 ms would have the reads repeated without a pause.
BOOST_AUTO_TEST_CASE(deadlines_that_would_flood_the_store_are_refused)
{
  Settings settings;
  settings.mManifestDeadline = 1ms;
  settings.mDrainDeadline = 1ms;
  settings.mMemberTimeToLive = 1ms;
  auto status = CheckSettings(settings);
  BOOST_REQUIRE(!status.ok());
  for (const auto* name : { "manifest_deadline", "drain_deadline", "member_time_to_live" }) {
    BOOST_TEST(status.message().find(name) != std::string::npos);
  }
}

// A route that could not be read was left out without a line in the log.
BOOST_AUTO_TEST_CASE(tenants_of_a_manifest_are_decoded)
{
  ExternalRecords records;
  DecodeExternalRecords(
    Stream::Operator,
    { { "config",
        R"({"version":7,"routes":[{"host":"a.example","prefix":"/a/","service":"s","public":true}],)"
        R"("tenants":[{"name":"t1","apiKeys":["k1","k2"],"weight":2.5,"maxCount":{"cpu":4000}},)"
        R"({"name":"t2"},{"apiKeys":["k3"]}]})",
        4 } },
    records);
  BOOST_REQUIRE(records.mManifests.size() == 1u);
  const auto& manifest = records.mManifests.front();
  BOOST_TEST(manifest.mRoutes.at(0).mIsPublic);
  BOOST_REQUIRE(manifest.mTenants.size() == 2u);
  const auto& first = manifest.mTenants.front();
  BOOST_TEST(first.mName.mValue == "t1");
  BOOST_TEST((first.mKeys == std::vector<std::string>{ "k1", "k2" }));
  BOOST_TEST(first.mWeight == 2.5);
  BOOST_TEST((first.mQuota == Resources{ 4000, 0, 0 }));
  BOOST_TEST(manifest.mTenants.back().mKeys.empty());
  BOOST_TEST((records.mUnreadable == std::vector<std::string>{ "a tenant of version 7" }));
  BOOST_TEST(manifest.mHasUnreadableTenants);
}

// Calls need no key without tenants, but tenants that cannot be read do not let calls pass.
BOOST_AUTO_TEST_CASE(only_tenants_that_are_not_there_make_keys_needless)
{
  auto requiresKeys = [](const std::string& aTenants) {
    ExternalRecords records;
    auto value = R"({"version":7,"routes":[])" + aTenants + "}";
    DecodeExternalRecords(Stream::Operator, { { "config", value, 4 } }, records);
    return MakeKeyIndex(records.mManifests.at(0)).mIsRequired;
  };
  for (const auto* none : { "", R"(,"tenants":null)", R"(,"tenants":[])" }) {
    BOOST_TEST(!requiresKeys(none));
  }
  for (const auto* some : { R"(,"tenants":{})",
                            R"(,"tenants":"t")",
                            R"(,"tenants":[1])",
                            R"(,"tenants":[{"name":"t"}])" }) {
    BOOST_TEST(requiresKeys(some));
  }
}

BOOST_AUTO_TEST_CASE(route_that_cannot_be_read_is_reported_and_the_others_hold)
{
  KeyedRecord record;
  record.mKey = "config";
  record.mValue = R"({"version":7,"routes":[{"host":"x","prefix":"/a/","service":"s"},)"
                  R"({"host":"x","prefix":"/b/"}],"services":[{"name":"s"}]})";
  ExternalRecords records;
  DecodeExternalRecords(Stream::Operator, { record }, records);
  BOOST_REQUIRE(records.mManifests.size() == 1u);
  BOOST_TEST(records.mManifests[0].mVersion == 7);
  BOOST_TEST(records.mManifests[0].mRoutes.size() == 1u);
  BOOST_REQUIRE(records.mUnreadable.size() == 1u);
  BOOST_TEST(records.mUnreadable[0] == "a route of version 7");
}

BOOST_AUTO_TEST_SUITE_END()
