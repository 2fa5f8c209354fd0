#pragma once

#include <event2/event.h>
#include <functional>
#include <map>
#include <string>

struct evhttp_request;

// A small HTTP server and client for the stand-ins of this review, on libevent.
namespace review {

using Query = std::map<std::string, std::string>;

struct Incoming
{
  evhttp_request* mRequest = nullptr;
  std::string mPath;
  Query mQuery;
  std::string mBody;
};

using Handler = std::function<void(const Incoming&)>;

// Listens on an address with a port until the process ends. Returns false if it can't.
bool
Serve(event_base* aBase, const std::string& aAddress, const Handler& aHandler);

std::string
HeaderOf(const Incoming& aIncoming, const char* aName);

void
Reply(evhttp_request* aRequest, int aStatus, const std::string& aBody);

// Sends a request and ignores its answer.
void
Post(event_base* aBase,
     const std::string& aAddress,
     const std::string& aPath,
     const std::string& aBody);

// Calls the function at an interval until the process ends.
void
Every(event_base* aBase, int aMilliseconds, const std::function<void()>& aFunction);

std::int64_t
UnixMilliseconds();

// Appends a line, with the time before it, to the file that all processes of a case share.
void
Record(const std::string& aFile, const std::string& aLine);

}
