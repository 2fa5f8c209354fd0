#pragma once

#include "LibBase/Json.h"
#include "LibBase/Time.h"

#include <string>
#include <vector>

namespace sesameseam {

// The settings of one entry host. docs/SETTINGS.md describes every key.
struct Settings
{
  std::string mDeployment;
  std::string mName;
  std::string mZone;
  std::string mCallerAddress;
  std::string mOperatorAddress;
  std::string mPeerAddress;
  // Peer addresses of other entry hosts, used to fetch the state while the log is unreachable.
  std::vector<std::string> mPeers;
  std::string mPlatform = "http";
  std::string mPlatformAddress;
  std::string mTargetClient = "http";
  // Path of the file with the operators' bearer token.
  std::string mOperatorTokenFile;
  int mMaxRequests = 256;
  int mMaxQueued = 2000;
  std::int64_t mMaxBodyBytes = 1024 * 1024;
  Duration mViewStaleAfter = 2s;
  Duration mMemberTimeout = 5s;
  Duration mReportInterval = 200ms;
  Duration mTickInterval = 20ms;
  Duration mHostListInterval = 1s;
  std::int64_t mSeed = 1;
};

template<typename V>
void
VisitFields(V& aVisit, Settings& aSettings)
{
  aVisit("deployment", aSettings.mDeployment, Presence::Required);
  aVisit("name", aSettings.mName, Presence::Required);
  aVisit("zone", aSettings.mZone, Presence::Required);
  aVisit("caller_address", aSettings.mCallerAddress, Presence::Required);
  aVisit("operator_address", aSettings.mOperatorAddress, Presence::Required);
  aVisit("peer_address", aSettings.mPeerAddress, Presence::Required);
  aVisit("peers", aSettings.mPeers);
  aVisit("platform", aSettings.mPlatform);
  aVisit("platform_address", aSettings.mPlatformAddress, Presence::Required);
  aVisit("target_client", aSettings.mTargetClient);
  aVisit("operator_token_file", aSettings.mOperatorTokenFile, Presence::Required);
  aVisit("max_requests", aSettings.mMaxRequests);
  aVisit("max_queued", aSettings.mMaxQueued);
  aVisit("max_body_bytes", aSettings.mMaxBodyBytes);
  aVisit("view_stale_after", aSettings.mViewStaleAfter);
  aVisit("member_timeout", aSettings.mMemberTimeout);
  aVisit("report_interval", aSettings.mReportInterval);
  aVisit("tick_interval", aSettings.mTickInterval);
  aVisit("host_list_interval", aSettings.mHostListInterval);
  aVisit("seed", aSettings.mSeed);
}

// Inclusive range of a number, or of a duration in microseconds.
struct SettingLimits
{
  std::string mKey;
  std::int64_t mMin = 0;
  std::int64_t mMax = 0;
  bool mIsDuration = false;
};

// Describes one key in the form used by docs/SETTINGS.md.
struct SettingDescription
{
  std::string mKey;
  std::string mType;
  std::string mDefault;
  std::string mRange;
  bool mRequired = false;
};

constexpr std::size_t kMinTokenBytes = 12;
constexpr std::size_t kMaxTokenBytes = 512;

std::vector<SettingDescription>
DescribeSettings();

// Parses and validates settings. The error lists all problems at once.
absl::StatusOr<Settings>
ParseSettings(const std::string& aText);
absl::StatusOr<Settings>
LoadSettings(const std::string& aFile);

// Reads the operators' bearer token. It is sent in an HTTP header, so it must not contain spaces or
// unprintable characters.
absl::StatusOr<std::string>
ReadToken(const std::string& aFile);

absl::StatusOr<std::string>
ReadFile(const std::string& aFile);

}
