// Hands jobs in at the schedulers of a soak, asks for them, cancels some, and holds what it is told
// against what the executors have started. Prints what was broken, and exits with 1 if anything
// was.

#include "LibHttp/EventHttpClient.h"

#include <CLI/CLI.hpp>
#include <algorithm>
#include <csignal>
#include <cstdio>
#include <event2/event.h>
#include <iostream>
#include <random>
#include <set>
#include <sstream>

namespace {

using namespace sesameseam;
using Clock = std::chrono::steady_clock;

constexpr int kTickMicroseconds = 10'000;
constexpr Duration kTimeout = 3s;
constexpr Duration kAskInterval = 400ms;
constexpr Duration kFirstPause = 200ms;
constexpr int kOk = 200;
constexpr int kGone = 410;
constexpr int kTooMany = 429;
constexpr int kUnavailable = 503;
// Callers give up after one to so many tries.
constexpr std::uint64_t kMaxTries = 6;
// One job in so many lasts until it is cancelled.
constexpr std::uint64_t kLastingJobs = 8;

constexpr char kShortJob[] =
  R"({"spec":"120","steps":[{"count":3,"cpu":1000,"memMb":10,"estimateMs":120},)"
  R"({"count":2,"cpu":1000,"memMb":10,"estimateMs":120,"after":[0]}]})";
constexpr char kLastingJob[] =
  R"({"spec":"lasts","steps":[{"count":2,"cpu":1000,"memMb":10,"daemon":true}]})";

enum class JobState
{
  Submitting,
  Accepted,
  // Every try was told that the job has not run and never will.
  Refused,
  Cancelling,
  Cancelled,
  Completed,
};

struct Job
{
  std::string mId;
  JobState mState = JobState::Submitting;
  bool mLasts = false;
  // A try got no answer, or one that leaves open whether the job was stored.
  bool mMayBeStored = false;
  bool mPending = false;
  int mTries = 0;
  int mMaxTries = 1;
  Clock::time_point mNextAt;
  Clock::time_point mCancelAt;
};

struct SoakSettings
{
  std::vector<std::string> mFronts;
  std::string mPlatform;
  std::uint64_t mSeed = 1;
  double mPerSecond = 15;
  int mSeconds = 10;
  // After the last job was handed in.
  int mFinishSeconds = 60;
};

class Callers
{
public:
  Callers(event_base* aBase, const SoakSettings& aSettings)
    : mBase(aBase)
    , mSettings(aSettings)
    , mClient(aBase, EventHttpClientSettings{})
    , mRandom(aSettings.mSeed)
    , mStartedAt(Clock::now())
  {
  }

  void Tick();
  int Report();

private:
  using Handler = std::function<void(const EventHttpResponse&)>;

  void Call(Job& aJob, EventHttpMethod aMethod, const char* aBody, Handler aHandler);
  void Submit(Job& aJob);
  void Ask(Job& aJob);
  void Cancel(Job& aJob);
  void Act(Job& aJob);
  void Break(const Job& aJob, const std::string& aWhat);
  void FetchStarted();
  void FetchSummary();
  void Finish();
  [[nodiscard]] Duration Elapsed() const;

  event_base* mBase;
  SoakSettings mSettings;
  EventHttpClient mClient;
  std::mt19937_64 mRandom;
  Clock::time_point mStartedAt;
  std::map<std::string, Job> mJobs;
  std::set<std::string> mStarted;
  std::vector<std::string> mBroken;
  std::string mSummary;
  bool mFinishing = false;
};

bool
IsOver(const Job& aJob)
{
  return aJob.mState == JobState::Refused || aJob.mState == JobState::Cancelled ||
         aJob.mState == JobState::Completed;
}

Duration
Callers::Elapsed() const
{
  return std::chrono::duration_cast<Duration>(Clock::now() - mStartedAt);
}

void
Callers::Break(const Job& aJob, const std::string& aWhat)
{
  mBroken.push_back("job " + aJob.mId + " " + aWhat + " at " +
                    std::to_string(ToMilliseconds(Elapsed()).count()) + " ms");
}

void
Callers::Call(Job& aJob, EventHttpMethod aMethod, const char* aBody, Handler aHandler)
{
  EventHttpRequest request;
  request.mAddress = mSettings.mFronts[mRandom() % mSettings.mFronts.size()];
  request.mMethod = aMethod;
  request.mPath = "/previews/" + aJob.mId;
  // The host of the stand-in's queue takes the place of the address.
  request.mHeaders = { { "Host", "x" }, { "Deadline-Ms", "3000" } };
  request.mBody = aBody;
  request.mTimeout = kTimeout;
  aJob.mPending = true;
  mClient.Call(std::move(request),
               [&aJob, handler = std::move(aHandler)](const EventHttpResponse& aResponse) {
                 aJob.mPending = false;
                 handler(aResponse);
               });
}

void
Callers::Submit(Job& aJob)
{
  ++aJob.mTries;
  auto* body = aJob.mLasts ? kLastingJob : kShortJob;
  Call(aJob, EventHttpMethod::Post, body, [this, &aJob](const EventHttpResponse& aResponse) {
    aJob.mNextAt = Clock::now() + kFirstPause * aJob.mTries;
    if (aResponse.mAnswered && aResponse.mStatus == kOk) {
      aJob.mState = JobState::Accepted;
      aJob.mCancelAt = Clock::now() + 1s;
      return;
    }
    auto isRefusal = aResponse.mStatus == kTooMany || aResponse.mStatus == kUnavailable;
    aJob.mMayBeStored |= !aResponse.mAnswered || !isRefusal;
    if (!aJob.mMayBeStored && aJob.mTries >= aJob.mMaxTries) {
      aJob.mState = JobState::Refused;
    }
  });
}

void
Callers::Ask(Job& aJob)
{
  Call(aJob, EventHttpMethod::Get, "", [this, &aJob](const EventHttpResponse& aResponse) {
    aJob.mNextAt = Clock::now() + kAskInterval;
    if (!aResponse.mAnswered) {
      return;
    }
    if (aResponse.mStatus == kGone) {
      Break(aJob, "was accepted and is not known");
    }
    if (aResponse.mStatus != kOk) {
      return;
    }
    auto shows = [&](const char* aState) {
      return aResponse.mBody.find(aState) != std::string::npos;
    };
    if (shows("\"completed\"")) {
      aJob.mState = JobState::Completed;
      if (aJob.mLasts) {
        Break(aJob, "lasts and is shown as completed");
      }
    } else if (shows("\"failed\"") || shows("\"cancelled\"")) {
      Break(aJob, "is shown as failed or cancelled, which nobody asked for");
      aJob.mState = JobState::Cancelled;
    }
  });
}

void
Callers::Cancel(Job& aJob)
{
  aJob.mState = JobState::Cancelling;
  Call(aJob, EventHttpMethod::Delete, "", [this, &aJob](const EventHttpResponse& aResponse) {
    aJob.mNextAt = Clock::now() + kAskInterval;
    if (aResponse.mAnswered && aResponse.mStatus == kGone) {
      Break(aJob, "was accepted and could not be cancelled");
    }
    if (aResponse.mAnswered && aResponse.mStatus == kOk) {
      aJob.mState = JobState::Cancelled;
    }
  });
}

void
Callers::Act(Job& aJob)
{
  switch (aJob.mState) {
    case JobState::Submitting:
      Submit(aJob);
      return;
    case JobState::Cancelling:
      Cancel(aJob);
      return;
    case JobState::Accepted:
      if (aJob.mLasts && Clock::now() >= aJob.mCancelAt) {
        Cancel(aJob);
      } else {
        Ask(aJob);
      }
      return;
    default:
      return;
  }
}

void
Callers::Tick()
{
  auto elapsed = Elapsed();
  auto time = std::min<Duration>(elapsed, std::chrono::seconds(mSettings.mSeconds));
  auto wanted = std::chrono::duration<double>(time).count() * mSettings.mPerSecond;
  while (static_cast<double>(mJobs.size()) < wanted) {
    char id[17];
    std::snprintf(id, sizeof id, "%016zx", mJobs.size() + 1);
    mJobs[id].mId = id;
    mJobs[id].mLasts = mRandom() % kLastingJobs == 0;
    mJobs[id].mMaxTries = 1 + static_cast<int>(mRandom() % kMaxTries);
  }
  auto isOver = true;
  for (auto& [id, job] : mJobs) {
    isOver = isOver && IsOver(job);
    if (!job.mPending && !IsOver(job) && Clock::now() >= job.mNextAt) {
      Act(job);
    }
  }
  auto end = std::chrono::seconds(mSettings.mSeconds + mSettings.mFinishSeconds);
  auto isTooLate = elapsed > end;
  if (!mFinishing &&
      ((isOver && elapsed > std::chrono::seconds(mSettings.mSeconds)) || isTooLate)) {
    mFinishing = true;
    for (const auto& [id, job] : mJobs) {
      if (!IsOver(job)) {
        Break(job, "is not over in time, state " + std::to_string(static_cast<int>(job.mState)));
      }
    }
    FetchStarted();
  }
}

void
Callers::FetchStarted()
{
  EventHttpRequest request;
  request.mAddress = mSettings.mPlatform;
  request.mPath = "/started";
  mClient.Call(std::move(request), [this](const EventHttpResponse& aResponse) {
    if (aResponse.mStatus != kOk) {
      mBroken.emplace_back("the stand-in of the platform does not answer");
    }
    std::istringstream ids(aResponse.mBody);
    for (std::string id; std::getline(ids, id);) {
      mStarted.insert(id);
    }
    FetchSummary();
  });
}

void
Callers::FetchSummary()
{
  EventHttpRequest request;
  request.mAddress = mSettings.mPlatform;
  request.mPath = "/summary";
  mClient.Call(std::move(request), [this](const EventHttpResponse& aResponse) {
    mSummary = aResponse.mBody;
    Finish();
  });
}

void
Callers::Finish()
{
  for (const auto& [id, job] : mJobs) {
    if (job.mState == JobState::Refused && mStarted.contains(id)) {
      Break(job, "was refused and has run");
    }
  }
  for (const auto& id : mStarted) {
    if (!mJobs.contains(id)) {
      mBroken.push_back("job " + id + " was started, and nobody handed it in");
    }
  }
  std::istringstream summary(mSummary);
  std::string name;
  int count = 0;
  while (summary >> name >> count) {
    if (count > 0 && name != "starts") {
      mBroken.push_back("executors saw \"" + name + "\" " + std::to_string(count) + " times");
    }
  }
  event_base_loopbreak(mBase);
}

int
Callers::Report()
{
  std::map<JobState, int> counts;
  for (const auto& [id, job] : mJobs) {
    ++counts[job.mState];
  }
  std::cout << mJobs.size() << " jobs: " << counts[JobState::Completed] << " completed, "
            << counts[JobState::Cancelled] << " cancelled, " << counts[JobState::Refused]
            << " refused; " << mBroken.size() << " promises broken\n";
  for (const auto& broken : mBroken) {
    std::cout << "broken: " << broken << "\n";
  }
  return mBroken.empty() ? 0 : 1;
}

}

int
main(int aCount, char** aArguments)
{
  CLI::App app("Callers of a soak, who check what they are told");
  SoakSettings settings;
  app.add_option("--front", settings.mFronts, "Address of a scheduler")->required();
  app.add_option("--platform", settings.mPlatform, "The stand-in of the platform")->required();
  app.add_option("--seed", settings.mSeed, "Seed of everything that is random");
  app.add_option("--per-second", settings.mPerSecond, "Jobs a second");
  app.add_option("--seconds", settings.mSeconds, "For so long jobs are handed in");
  app.add_option(
    "--finish-seconds", settings.mFinishSeconds, "Then all have to be over by so long");
  CLI11_PARSE(app, aCount, aArguments);

  signal(SIGPIPE, SIG_IGN);
  auto* base = event_base_new();
  Callers callers(base, settings);
  timeval interval{ 0, kTickMicroseconds };
  auto* tick = event_new(
    base,
    -1,
    EV_PERSIST,
    [](int, short, void* aCallers) { static_cast<Callers*>(aCallers)->Tick(); },
    &callers);
  event_add(tick, &interval);
  event_base_dispatch(base);
  return callers.Report();
}
