#pragma once

#include <algorithm>

namespace sesameseam {

// Limits retries to a fraction of the requests, with a token bucket.
struct RetryBudget
{
  double mTokens = 0.0;
};

constexpr double kRetryTokensPerRequest = 0.1;
constexpr double kMaxRetryTokens = 10.0;

inline void
DepositRetry(RetryBudget& aBudget)
{
  aBudget.mTokens = std::min(aBudget.mTokens + kRetryTokensPerRequest, kMaxRetryTokens);
}

inline bool
WithdrawRetry(RetryBudget& aBudget)
{
  if (aBudget.mTokens < 1.0) {
    return false;
  }
  aBudget.mTokens -= 1.0;
  return true;
}

}
