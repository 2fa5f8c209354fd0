#pragma once

#include "LibBase/Time.h"
#include "LibHttp/EventHttpMethod.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

struct bufferevent;
struct event;
struct event_base;
struct evhttp_connection;
struct evhttp_request;

namespace sesameseam {

struct EventHttpResponse;

// Asks which process is at the other end of a connection. A connection stays with the process that
// has accepted it, so that a request on it reaches that process or none.
struct EventHttpIntroduction
{
  std::string mPath;
  std::string mBody;
  // How long the answer to the introduction may take. The request follows only if it took half of
  // this at most, so that there is time for its own answer.
  Duration mTimeout = 1s;
  // The process that has given an answer; 0 if it does not say.
  std::function<std::int64_t(const EventHttpResponse&)> mProcessOf;
};

struct EventHttpRequest
{
  // "IP:port"
  std::string mAddress;
  // Calls of one lane share connections; a call that waits long gets a lane of its own.
  std::string mLane;
  // The kind of call under which its traffic is counted.
  std::string mKind;
  EventHttpMethod mMethod = EventHttpMethod::Get;
  // With the query.
  std::string mPath;
  std::vector<std::pair<std::string, std::string>> mHeaders;
  std::string mBody;
  // For the whole call, from now to the last byte of the answer.
  Duration mTimeout = 1s;
  // An answer that is still arriving at the timeout is given up only once nothing has arrived for
  // mStallTimeout, and at this time at the latest. It has no effect if it is less than mTimeout.
  Duration mTimeoutWhileReceiving{ 0 };
  // 0 for mTimeout.
  Duration mStallTimeout{ 0 };
  // Resets the connection if there is no answer in time, so that a request that is still on its way
  // is lost instead of being carried out after the call was given up.
  bool mResetsWhenGivenUp = false;
  // If no connection can be opened, the answer says whether one was refused. That takes a second
  // attempt to connect.
  bool mAsksForListener = false;
  // The process that the request is for, as its answers name it; 0 for any. On a connection on
  // which that process has not named itself, the introduction is sent first, with the same method
  // and headers, and the request follows only if that process has answered. Some servers close each
  // connection after an answer, and some don't say so: a request for a process that has done so
  // several times in a row is sent on a new connection, which another process may have accepted.
  std::int64_t mProcess = 0;
  EventHttpIntroduction mIntroduction;
  // The answer to the request itself names the process too, as that to an introduction.
  bool mAnswerNamesProcess = false;
};

struct EventHttpResponse
{
  // There is a whole answer. Otherwise the request may have been carried out, or may be later.
  bool mAnswered = false;
  // The request was sent, or a part of it. If it was not, it never will be, and an answer is the
  // one to its introduction.
  bool mWasSent = false;
  // Nothing listens at the address, so that no process has received the request. Only if that was
  // asked for.
  bool mHasNoListener = false;
  int mStatus = 0;
  std::string mBody;
  // The bytes of the body that have arrived, also of an answer that is not complete.
  std::size_t mReceivedBytes = 0;
  // How long the call waited for a connection of its lane.
  Duration mWaitedForConnection{ 0 };
  // How long the connection had been idle when the request was sent; none if it was a new one or
  // if the request was not sent.
  std::optional<Duration> mIdleBefore;
};

// The traffic of one kind of call. Paths and bodies are counted, headers are not.
struct EventHttpTraffic
{
  std::int64_t mCalls = 0;
  std::int64_t mUnanswered = 0;
  std::int64_t mSentBytes = 0;
  std::int64_t mReceivedBytes = 0;
};

struct EventHttpClientSettings
{
  // Connections of one lane to one address; more calls wait.
  std::size_t mMaxConnections = 4;
  // A call whose answer has a longer body counts as not answered.
  std::int64_t mMaxBodyBytes = 16 * 1024 * 1024;
};

// An HTTP client on a libevent loop. It keeps connections open, sends each request once, and never
// sends one again by itself. A call that is not answered in time closes its connection, and those
// to the same address that were idle all the while.
class EventHttpClient
{
public:
  using Callback = std::function<void(const EventHttpResponse&)>;

  EventHttpClient(event_base* aBase, const EventHttpClientSettings& aSettings);
  ~EventHttpClient();
  EventHttpClient(const EventHttpClient&) = delete;
  EventHttpClient& operator=(const EventHttpClient&) = delete;

  void Call(EventHttpRequest aRequest, Callback aCallback);

  // Connections opened so far.
  [[nodiscard]] std::int64_t Opened() const { return mOpened; }

  // The traffic so far, by EventHttpRequest::mKind.
  [[nodiscard]] const std::map<std::string, EventHttpTraffic>& Traffic() const { return mTraffic; }

private:
  struct Lane;
  struct Exchange;

  static void OnAnswer(evhttp_request* aRequest, void* aExchange);
  static int OnHead(evhttp_request* aRequest, void* aExchange);
  static void OnListenerCheck(bufferevent* aConnection, short aWhat, void* aExchange);
  static void OnTimeout(int aDescriptor, short aWhat, void* aExchange);
  static void OnCleanUp(int aDescriptor, short aWhat, void* aClient);

  void Send(Lane& aLane, Exchange& aExchange);
  // Takes an idle connection of the lane or opens one. One on which the process that the request is
  // for has named itself is preferred; those of other processes are closed.
  void TakeConnection(Lane& aLane, Exchange& aExchange);
  // Closes idle connections that a server which closes each may be about to close.
  void DropClosing(Lane& aLane);
  void OpenConnection(Exchange& aExchange);
  void SendRequest(Exchange& aExchange);
  void SendIntroduction(Exchange& aExchange);
  static void Transmit(Exchange& aExchange, const std::string& aPath, const std::string& aBody);
  void OnIntroduced(Exchange& aExchange, EventHttpResponse aResponse);
  // Notes whether the other side keeps its connections.
  static void NoteConnection(const Exchange& aExchange, bool aIsAnswered);
  // Frees a connection outside of libevent's own callbacks.
  void FreeLater(evhttp_connection* aConnection);
  void Finish(Exchange& aExchange, EventHttpResponse aResponse);
  void SendNext(Lane& aLane);
  // Opens a connection only to see whether it is refused, which libevent doesn't tell of its own.
  void CheckListener(Exchange& aExchange);
  // Gives the connection of the exchange up.
  void Abandon(Exchange& aExchange);
  // Closes the idle connections to an address that have had no answer since the given time, in all
  // lanes. Connections can fall silent together without being closed, and each would cost a
  // timeout.
  void CloseIdle(const std::string& aAddress,
                 std::chrono::steady_clock::time_point aUnansweredSince);
  // Sets the timer again if more of the answer has arrived since it was last set.
  bool WaitLonger(Exchange& aExchange, std::size_t aReceivedBytes);
  evhttp_connection* Connect(const Lane& aLane);

  event_base* mBase;
  EventHttpClientSettings mSettings;
  std::map<std::pair<std::string, std::string>, std::unique_ptr<Lane>> mLanes;
  // Freed outside of libevent's own callbacks.
  std::vector<evhttp_connection*> mBroken;
  event* mCleanUp = nullptr;
  std::int64_t mOpened = 0;
  std::map<std::string, EventHttpTraffic> mTraffic;
};

}
