#include "LibExplain/Explain.h"

#include <boost/test/unit_test.hpp>

using namespace sesameseam;
using namespace sesameseam::explain;

namespace {

constexpr char kJob[] = "5c0e7a21d94b36f8";

Explanation
ExplainTexts(const std::vector<std::string>& aTexts)
{
  std::vector<LogLine> lines;
  for (const auto& text : aTexts) {
    auto line = ParseLogLine(text);
    BOOST_REQUIRE(line.ok());
    lines.push_back(*line);
  }
  return Explain(std::move(lines), kJob);
}

std::string
Line(int aTime, const std::string& aEvent, const std::string& aRest, bool aIsOwn = true)
{
  auto job = aIsOwn ? std::string(kJob) : "0000000000000001";
  return "{\"time_ms\":" + std::to_string(aTime) +
         ",\"level\":\"info\",\"host\":\"e1\",\"event\":\"" + aEvent + "\",\"job\":\"" + job +
         "\"" + aRest + "}";
}

std::string
Dependency(int aTime, const std::string& aEvent)
{
  return "{\"time_ms\":" + std::to_string(aTime) +
         ",\"level\":\"warning\",\"host\":\"e1\",\"event\":\"" + aEvent +
         "\",\"subject\":\"progress of shard 4\"}";
}

const std::string kStored = Line(1000, "job-stored", ",\"outcome\":\"accepted\"");
const std::string kCompleted =
  Line(9000, "job-finished", ",\"outcome\":\"completed\",\"version\":7");

}

BOOST_AUTO_TEST_SUITE(TheExplanation)

BOOST_AUTO_TEST_CASE(job_without_log_lines_is_not_found)
{
  auto explanation = ExplainTexts({ Line(1, "job-stored", "", false) });
  BOOST_TEST((explanation.mCause == Cause::NotFound));
}

// A caller was refused since its host had not read a change of the manifest yet.
BOOST_AUTO_TEST_CASE(job_refused_by_an_old_manifest_names_its_version_and_age)
{
  auto refused = Line(3000, "queue-unknown", ",\"version\":111,\"age_ms\":3590");
  auto inForce = Line(6000, "manifest-in-force", ",\"version\":144", false);
  auto explanation = ExplainTexts({ Dependency(2000, "dependency-lost"), refused, inForce });
  BOOST_TEST((explanation.mCause == Cause::RefusedByManifest));
  BOOST_TEST(explanation.mSummary ==
             "refused by e1: version 111 of the manifest, confirmed 3590 ms before, has no queue "
             "for it");
  BOOST_REQUIRE(explanation.mEvidence.size() == 3u);
  BOOST_TEST(explanation.mEvidence[2].mVersion.value_or(0) == 144);
}

BOOST_AUTO_TEST_CASE(refused_job_lists_dependencies_lost_at_that_time)
{
  auto refused = Line(3000, "job-refused", ",\"reason\":\"the log does not answer\"");
  auto explanation = ExplainTexts({ Dependency(2000, "dependency-lost"), refused });
  BOOST_TEST((explanation.mCause == Cause::RefusedByLog));
  BOOST_TEST(explanation.mEvidence.size() == 2u);
  explanation = ExplainTexts(
    { Dependency(1000, "dependency-lost"), Dependency(2000, "dependency-regained"), refused });
  BOOST_TEST(explanation.mEvidence.size() == 1u);
}

BOOST_AUTO_TEST_CASE(cause_of_delay_of_a_completed_job)
{
  BOOST_TEST((ExplainTexts({ kStored, kCompleted }).mCause == Cause::NoFaultLogged));
  auto lost = Line(2000, "task-lost", ",\"subject\":\"x1\"");
  BOOST_TEST((ExplainTexts({ kCompleted, lost, kStored }).mCause == Cause::ExecutorLost));
  auto owned = R"({"time_ms":5000,"host":"e1","event":"shard-owned","subject":"4","version":7})";
  BOOST_TEST((ExplainTexts({ kStored, owned, kCompleted }).mCause == Cause::ShardTakenOver));
  auto away = Dependency(5000, "dependency-lost");
  BOOST_TEST((ExplainTexts({ kStored, away, kCompleted }).mCause == Cause::LogUnavailable));
}

BOOST_AUTO_TEST_CASE(faulty_job_is_distinguished_from_faulty_executor)
{
  auto end = Line(9000, "job-finished", ",\"outcome\":\"failed\"");
  auto on = [](const char* aExecutor, bool aIsOwn = true) {
    return Line(5000, "task-failed", std::string(",\"subject\":\"") + aExecutor + "\"", aIsOwn);
  };
  auto other = on("x1", false);
  auto third = other;
  third.replace(third.find("0001"), 4, "0002");
  BOOST_TEST((ExplainTexts({ kStored, on("x1"), on("x2"), end }).mCause == Cause::JobFaulty));
  BOOST_TEST(
    (ExplainTexts({ kStored, on("x1"), other, third, end }).mCause == Cause::ExecutorFaulty));
}

// Guards against a job that was given up for its crashes and is explained by no failed run at all.
BOOST_AUTO_TEST_CASE(a_job_that_crashed_its_executors_is_faulty)
{
  auto end = Line(9000, "job-finished", ",\"outcome\":\"failed\"");
  auto crash = Line(5000,
                    "executor-crashed",
                    R"(,"subject":"x1","reason":"3 executors have crashed under the task")");
  auto explanation = ExplainTexts({ kStored, crash, end });
  BOOST_TEST((explanation.mCause == Cause::JobFaulty));
  BOOST_TEST(explanation.mSummary == "3 executors have crashed under the task, last x1");
}

BOOST_AUTO_TEST_CASE(invalid_log_line_is_an_error)
{
  BOOST_TEST(!ParseLogLine("not json").ok());
}

BOOST_AUTO_TEST_CASE(job_refused_for_its_key_names_the_version_and_its_age)
{
  auto refused = Line(
    3000, "call-undecided", ",\"tenant\":\"t1\",\"reason\":\"why\",\"version\":7,\"age_ms\":5100");
  auto explanation = ExplainTexts({ Dependency(2000, "dependency-lost"), refused });
  BOOST_TEST((explanation.mCause == Cause::RefusedForKey));
  BOOST_TEST(explanation.mTenant == "t1");
  BOOST_TEST(explanation.mSummary ==
             "refused by e1: why, by version 7 of the manifest, proven 5100 ms before");
  BOOST_TEST(explanation.mEvidence.size() == 2u);
}

BOOST_AUTO_TEST_CASE(explanation_names_the_tenant_of_the_job)
{
  auto ended =
    Line(9000, "job-finished", ",\"tenant\":\"t1\",\"outcome\":\"completed\",\"version\":7");
  BOOST_TEST(ExplainTexts({ kStored, ended }).mTenant == "t1");
  BOOST_TEST(ExplainTexts({ kStored, kCompleted }).mTenant == "");
}

BOOST_AUTO_TEST_SUITE_END()
