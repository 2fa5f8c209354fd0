#pragma once

#include <string>
#include <vector>

namespace sesameseam {

struct HttpHeader
{
  std::string mName;
  std::string mValue;
};

struct HttpRequest
{
  std::string mMethod = "GET";
  std::string mPath;
  std::string mQuery;
  std::vector<HttpHeader> mHeaders;
  std::string mBody;
};

struct HttpReply
{
  int mStatus = 200;
  std::vector<HttpHeader> mHeaders;
  std::string mBody;
};

// Gives the empty string where there is no such header.
std::string
HeaderOf(const std::vector<HttpHeader>& aHeaders, const std::string& aName);

// Gives the empty string where the query has no such parameter.
std::string
ParameterOf(const HttpRequest& aRequest, const std::string& aName);

HttpReply
JsonReply(int aStatus, std::string aBody);

}
