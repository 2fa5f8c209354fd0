#include "LibExperiment/KeyedCallers.h"

#include <set>

namespace sesameseam {

namespace {

const GivenAnswer*
AnswerTo(const Deployment& aDeployment, const KeyedTry& aTry)
{
  auto found = aDeployment.mAnswers.find(aTry.mId);
  return found == aDeployment.mAnswers.end() ? nullptr : &found->second;
}

bool
IsAnswered(const Deployment& aDeployment, const KeyedTry& aTry)
{
  const auto* given = AnswerTo(aDeployment, aTry);
  return given != nullptr && given->mOutcome.mKind == OutcomeKind::Answered;
}

// The number of the last try that was told "not run".
int
TriesNotRun(const Deployment& aDeployment, const KeyedRequest& aKeyed)
{
  int number = 0;
  for (std::size_t i = 0; i < aKeyed.mTries.size(); ++i) {
    const auto* given = AnswerTo(aDeployment, aKeyed.mTries[i]);
    if (given != nullptr && given->mOutcome.mKind == OutcomeKind::NotRun) {
      number = static_cast<int>(i) + 1;
    }
  }
  return number;
}

void
SendTry(Deployment& aDeployment, KeyedCallers& aCallers, const RequestKey& aKey, std::size_t aNode)
{
  auto& keyed = aCallers.mRequests.at(aKey);
  auto request = keyed.mRequest;
  request.mDeadline = aDeployment.mNow + aCallers.mDeadline;
  request.mTry = static_cast<int>(keyed.mTries.size()) + 1;
  request.mTriesNotRun = TriesNotRun(aDeployment, keyed);
  auto id = Submit(aDeployment, aNode, std::move(request));
  keyed.mTries.push_back({ id, aNode, aDeployment.mNow });
  if (static_cast<int>(keyed.mTries.size()) >= aCallers.mMaxTries) {
    return;
  }
  Schedule(
    aDeployment, aDeployment.mNow + aCallers.mPatience, [&aDeployment, &aCallers, aKey, aNode] {
      const auto& last = aCallers.mRequests.at(aKey).mTries.back();
      if (!IsAnswered(aDeployment, last)) {
        SendTry(aDeployment, aCallers, aKey, (aNode + 1) % aDeployment.mNodes.size());
      }
    });
}

// The requests whose attempts started, by the ids that their entry hosts gave them.
std::set<std::string>
StartedIds(const Deployment& aDeployment)
{
  std::set<std::string> ids;
  for (const auto& [id, at] : aDeployment.mStarted) {
    // A forwarded request has the peer's name behind its id.
    ids.insert(id.mValue.substr(0, id.mValue.find('@')));
  }
  return ids;
}

void
CountTries(const Deployment& aDeployment,
           const std::set<std::string>& aStarted,
           const KeyedRequest& aKeyed,
           KeyedReport& aReport)
{
  bool ran = false;
  for (const auto& sent : aKeyed.mTries) {
    aReport.mTries += 1;
    ran = ran || aStarted.contains(sent.mId.mValue);
    const auto* given = AnswerTo(aDeployment, sent);
    if (given == nullptr) {
      continue;
    }
    const auto& outcome = given->mOutcome;
    aReport.mAnsweredTwice += given->mCount > 1 ? 1 : 0;
    aReport.mNotRunButRan += ran && outcome.mKind == OutcomeKind::NotRun ? 1 : 0;
    bool right = outcome.mBody == "done " + aKeyed.mRequest.mKey.mValue;
    aReport.mWrongAnswers += outcome.mKind == OutcomeKind::Answered && !right ? 1 : 0;
  }
}

void
CountLastAnswer(const Deployment& aDeployment, const KeyedRequest& aKeyed, KeyedReport& aReport)
{
  const auto* given = AnswerTo(aDeployment, aKeyed.mTries.back());
  auto kind = given == nullptr ? OutcomeKind::Unknown : given->mOutcome.mKind;
  aReport.mAnswered += kind == OutcomeKind::Answered ? 1 : 0;
  aReport.mNotRun += kind == OutcomeKind::NotRun ? 1 : 0;
  aReport.mUnknown += kind == OutcomeKind::Unknown ? 1 : 0;
}

}

void
SendKeyed(Deployment& aDeployment,
          KeyedCallers& aCallers,
          const PoolName& aPool,
          std::size_t aFirstNode,
          Duration aRunTime)
{
  KeyedRequest keyed;
  keyed.mRequest.mPool = aPool;
  keyed.mRequest.mClass = RequestClass::Ordinary;
  keyed.mRequest.mKind = "print-order";
  keyed.mRequest.mIdempotent = !aCallers.mClaims;
  keyed.mRequest.mKey = RequestKey("order-" + std::to_string(aCallers.mRequests.size() + 1));
  keyed.mRequest.mBody = std::to_string(aRunTime.count());
  auto key = keyed.mRequest.mKey;
  aCallers.mRequests.emplace(key, std::move(keyed));
  SendTry(aDeployment, aCallers, key, aFirstNode);
}

KeyedReport
ReportKeyed(const Deployment& aDeployment, const KeyedCallers& aCallers)
{
  KeyedReport report;
  auto started = StartedIds(aDeployment);
  for (const auto& [key, keyed] : aCallers.mRequests) {
    report.mRequests += 1;
    auto runs = aDeployment.mRuns.find(key.mValue);
    report.mDoubled += runs != aDeployment.mRuns.end() && runs->second > 1 ? 1 : 0;
    CountTries(aDeployment, started, keyed, report);
    CountLastAnswer(aDeployment, keyed, report);
  }
  return report;
}

}
