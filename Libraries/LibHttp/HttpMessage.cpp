#include "LibHttp/HttpMessage.h"

#include <absl/strings/match.h>
#include <absl/strings/str_split.h>

namespace sesameseam {

std::string
HeaderOf(const std::vector<HttpHeader>& aHeaders, const std::string& aName)
{
  for (const auto& header : aHeaders) {
    if (absl::EqualsIgnoreCase(header.mName, aName)) {
      return header.mValue;
    }
  }
  return "";
}

std::string
ParameterOf(const HttpRequest& aRequest, const std::string& aName)
{
  for (const auto& part : absl::StrSplit(aRequest.mQuery, '&')) {
    std::vector<std::string> pair = absl::StrSplit(part, absl::MaxSplits('=', 1));
    if (pair.size() == 2 && pair[0] == aName) {
      return pair[1];
    }
  }
  return "";
}

HttpReply
JsonReply(int aStatus, std::string aBody)
{
  HttpReply reply;
  reply.mStatus = aStatus;
  reply.mHeaders.push_back({ "Content-Type", "application/json" });
  reply.mBody = std::move(aBody);
  return reply;
}

}
