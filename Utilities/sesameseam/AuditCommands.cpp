#include "AuditVerify.h"
#include "Commands.h"

#include <absl/strings/str_split.h>

#include <algorithm>
#include <iomanip>
#include <iostream>

namespace sesameseam {

namespace {

// Selects the entries that `audit` shows. An empty field matches every entry.
struct AuditFilter
{
  std::string mPool;
  std::string mHost;
  std::string mOperator;
  std::string mSince;
  std::string mUntil;
};

// Returns whether the subject holds the word directly followed by the name, such as "host h1".
bool
SubjectContains(const std::string& aSubject, const std::string& aWord, const std::string& aName)
{
  std::vector<std::string> words = absl::StrSplit(aSubject, ' ');
  for (std::size_t i = 0; i + 1 < words.size(); ++i) {
    if (words[i] == aWord && words[i + 1] == aName) {
      return true;
    }
  }
  return false;
}

bool
MatchesFilter(const AuditFilter& aFilter, const Decision& aEntry)
{
  auto time = FormatTime(aEntry.mTime);
  bool pool = aFilter.mPool.empty() || SubjectContains(aEntry.mSubject, "pool", aFilter.mPool);
  bool host = aFilter.mHost.empty() || SubjectContains(aEntry.mSubject, "host", aFilter.mHost);
  bool author = aFilter.mOperator.empty() || aEntry.mAuthor == "operator " + aFilter.mOperator;
  // Timestamps of this format sort lexicographically.
  bool since = aFilter.mSince.empty() || time >= aFilter.mSince;
  bool until = aFilter.mUntil.empty() || time <= aFilter.mUntil;
  return pool && host && author && since && until;
}

absl::StatusOr<std::vector<Decision>>
FetchAudit(const CommandContext& aContext)
{
  auto text = TRY(Fetch(aContext.mClient, "/audit"));
  return FromJson<std::vector<Decision>>(text);
}

int
ShowAudit(const CommandContext& aContext, const AuditFilter& aFilter)
{
  auto audit = FetchAudit(aContext);
  if (!audit.ok()) {
    return ReportError(audit.status());
  }
  std::erase_if(*audit, [&](const Decision& aEntry) { return !MatchesFilter(aFilter, aEntry); });
  if (aContext.mJson) {
    std::cout << ToJson(*audit) << "\n";
    return kExitSuccess;
  }
  for (const auto& entry : *audit) {
    std::cout << std::setw(6) << entry.mOffset << "  " << FormatTime(entry.mTime) << "  "
              << std::left << std::setw(30) << entry.mAuthor << std::setw(22) << entry.mKind
              << std::right << " " << entry.mSubject
              << (entry.mAccepted ? "" : "  REFUSED " + entry.mReason) << "\n";
  }
  return kExitSuccess;
}

int
ShowAuditDifferences(const CommandContext& aContext)
{
  auto audit = FetchAudit(aContext);
  if (!audit.ok()) {
    return ReportError(audit.status());
  }
  auto status = FetchStatus(aContext.mClient);
  if (!status.ok()) {
    return ReportError(status.status());
  }
  auto differences = VerifyAudit(*audit, *status);
  if (aContext.mJson) {
    std::cout << ToJson(differences) << "\n";
  } else {
    for (const auto& difference : differences) {
      std::cout << difference.mSubject << ": chosen " << difference.mExpected << ", found "
                << difference.mActual << "\n";
    }
    std::cout << differences.size() << " differences\n";
  }
  return differences.empty() ? kExitSuccess : kExitRefused;
}

}

void
AddAuditCommands(CLI::App& aApp, CommandContext& aContext)
{
  auto filter = std::make_shared<AuditFilter>();
  auto* audit = aApp.add_subcommand("audit", "Show the audit trail of changes");
  audit->add_option("--pool", filter->mPool, "Only what names this pool");
  audit->add_option("--host", filter->mHost, "Only what names this host");
  audit->add_option("--by", filter->mOperator, "Only changes by this operator");
  audit->add_option("--since", filter->mSince, "From this time on, such as 2026-12-03T08:00:00Z");
  audit->add_option("--until", filter->mUntil, "Up to this time");
  auto* verify = audit->add_subcommand(
    "verify", "Hold what was chosen against what is; exit code 1 if they differ");
  verify->callback(
    [&aContext] { aContext.mRun = [&aContext] { return ShowAuditDifferences(aContext); }; });
  audit->callback([&aContext, filter, verify] {
    // CLI11 runs the callback of a subcommand before that of its parent.
    if (!verify->parsed()) {
      aContext.mRun = [&aContext, filter] { return ShowAudit(aContext, *filter); };
    }
  });
}

}
