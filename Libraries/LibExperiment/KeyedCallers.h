#pragma once

#include "LibExperiment/Deployment.h"

// Callers that send requests with keys, and send them again by other entry hosts.
namespace sesameseam {

struct KeyedTry
{
  RequestId mId;
  std::size_t mNode = 0;
  TimePoint mSentAt;
};

struct KeyedRequest
{
  Request mRequest;
  std::vector<KeyedTry> mTries;
};

struct KeyedCallers
{
  // The time after which a caller sends its next try, whether or not the last was answered.
  Duration mPatience = 300ms;
  Duration mDeadline = 2s;
  int mMaxTries = 4;
  // Without claims, the requests are sent as though they were idempotent.
  bool mClaims = true;
  std::map<RequestKey, KeyedRequest> mRequests;
};

struct KeyedReport
{
  std::int64_t mRequests = 0;
  std::int64_t mTries = 0;
  // By the last answer that each caller got; where there was none, the outcome is unknown.
  std::int64_t mAnswered = 0;
  std::int64_t mNotRun = 0;
  std::int64_t mUnknown = 0;
  // Keys that ran more than once.
  std::int64_t mDoubled = 0;
  // Tries told "not run", where that try or an earlier one with the key ran.
  std::int64_t mNotRunButRan = 0;
  // Tries that got the answer to another request.
  std::int64_t mWrongAnswers = 0;
  // Tries that got more than one answer.
  std::int64_t mAnsweredTwice = 0;
};

// Sends the first try now. Both arguments must stay where they are while the deployment runs.
void
SendKeyed(Deployment& aDeployment,
          KeyedCallers& aCallers,
          const PoolName& aPool,
          std::size_t aFirstNode,
          Duration aRunTime);

KeyedReport
ReportKeyed(const Deployment& aDeployment, const KeyedCallers& aCallers);

}
