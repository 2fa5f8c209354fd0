#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

// A small HTTP/1.1 server on poll(), for the stand-in of the platform.
namespace review {

// Milliseconds of the wall clock.
std::int64_t
NowMs();

// Ports on 127.0.0.1 that nothing listens on, outside of the range for outgoing connections.
std::vector<int>
FreePorts(int aCount);

struct Request
{
  int mConnection = 0;
  // The address that the request came in at.
  std::string mListener;
  std::string mMethod;
  std::string mPath;
  std::map<std::string, std::string> mQueries;
  // The names are in lower case.
  std::map<std::string, std::string> mHeaders;
  std::string mBody;

  [[nodiscard]] std::string Query(const std::string& aName) const;
  [[nodiscard]] std::string Header(const std::string& aName) const;
};

struct Reply
{
  int mStatus = 0;
  std::string mBody;
};

// Makes one call on a connection of its own. Without a whole answer within the time, the status is
// 0.
Reply
Call(const std::string& aAddress,
     const std::string& aHead,
     const std::string& aBody,
     int aTimeoutMs);

class HttpServer
{
public:
  // Listens at "IP:port", or ends the process.
  void Listen(const std::string& aAddress);
  // Stops listening and resets the connections there.
  void Close(const std::string& aAddress);
  // The number of the address, in the order of the first calls of Listen().
  std::size_t IndexOf(const std::string& aAddress) const;

  std::vector<Request> Poll(int aTimeoutMs);
  void Answer(const Request& aRequest, const Reply& aReply);
  // Closes the connection without an answer.
  void Drop(const Request& aRequest);

private:
  struct Connection
  {
    int mSocket = -1;
    std::string mListener;
    std::string mIn;
    std::string mOut;
    bool mIsBusy = false;
    bool mIsClosed = false;
  };

  void Accept(const std::string& aAddress, int aListener);
  void ReadFrom(Connection& aConnection);
  void WriteTo(Connection& aConnection);
  bool TakeRequest(int aId, Connection& aConnection, Request& aRequest);

  std::vector<std::string> mAddresses;
  std::map<std::string, int> mListeners;
  std::map<int, Connection> mConnections;
  int mNextConnection = 1;
};

}
