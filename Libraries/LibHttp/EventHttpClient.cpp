#include "LibHttp/EventHttpClient.h"

#include "LibHttp/ClosedInTurn.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <utility>

namespace sesameseam {

namespace {

timeval
ToTimeval(Duration aDuration)
{
  auto seconds = std::chrono::duration_cast<std::chrono::seconds>(aDuration);
  timeval value{};
  value.tv_sec = seconds.count();
  value.tv_usec = (aDuration - seconds).count();
  return value;
}

evhttp_cmd_type
CommandOf(EventHttpMethod aMethod)
{
  switch (aMethod) {
    case EventHttpMethod::Post:
      return EVHTTP_REQ_POST;
    case EventHttpMethod::Delete:
      return EVHTTP_REQ_DELETE;
    default:
      return EVHTTP_REQ_GET;
  }
}

std::string
BodyOf(evhttp_request* aRequest)
{
  auto* buffer = evhttp_request_get_input_buffer(aRequest);
  std::string body(evbuffer_get_length(buffer), '\0');
  evbuffer_remove(buffer, body.data(), body.size());
  return body;
}

// Whether no connection could be opened. libevent then gives the request back without a response; a
// connection that breaks later gives no request.
bool
HasNotConnected(evhttp_request* aRequest, bool aIsNewConnection)
{
  return aRequest != nullptr && aIsNewConnection && evhttp_request_get_response_code(aRequest) == 0;
}

struct Endpoint
{
  std::string mHost;
  std::uint16_t mPort = 0;
};

Endpoint
ParseEndpoint(const std::string& aAddress)
{
  auto colon = aAddress.rfind(':');
  auto port = std::atoi(aAddress.c_str() + colon + 1);
  return { aAddress.substr(0, colon), static_cast<std::uint16_t>(port) };
}

// Has the connection reset when it is closed: what was not delivered yet is discarded.
void
ResetOnClose(evhttp_connection* aConnection)
{
  auto descriptor = bufferevent_getfd(evhttp_connection_get_bufferevent(aConnection));
  linger discard{ 1, 0 };
  if (descriptor >= 0) {
    setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &discard, sizeof discard);
  }
}

// Whether the connection that was opened last still stands. libevent opens a closed one again for
// the next request.
bool
IsOpen(evhttp_connection* aConnection)
{
  return bufferevent_getfd(evhttp_connection_get_bufferevent(aConnection)) >= 0;
}

// The bytes of an answer's body that have arrived. libevent leaves them with the connection until
// the body is complete.
std::size_t
ReceivedBytes(evhttp_connection* aConnection, evhttp_request* aRequest)
{
  auto* buffered = bufferevent_get_input(evhttp_connection_get_bufferevent(aConnection));
  return evbuffer_get_length(buffered) +
         evbuffer_get_length(evhttp_request_get_input_buffer(aRequest));
}

void
CountTraffic(const EventHttpRequest& aRequest,
             const EventHttpResponse& aResponse,
             EventHttpTraffic& aTraffic)
{
  ++aTraffic.mCalls;
  aTraffic.mUnanswered += aResponse.mAnswered ? 0 : 1;
  aTraffic.mSentBytes += static_cast<std::int64_t>(aRequest.mPath.size() + aRequest.mBody.size());
  aTraffic.mReceivedBytes += static_cast<std::int64_t>(aResponse.mReceivedBytes);
}

// Connections close by the deadline of each call; libevent's own limit only has to be longer.
constexpr int kIdleLimitSeconds = 60;
// How long after its answer a connection of a server that closes each may still seem open.
constexpr Duration kTimeToClose = 100ms;

// How far a call has come.
enum class Stage
{
  Waiting,
  Introducing,
  Sent,
};

// The time since some start, also while the process or the machine is suspended.
Duration
BootTime()
{
  timespec time{};
  clock_gettime(CLOCK_BOOTTIME, &time);
  auto since = std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
  return std::chrono::duration_cast<Duration>(since);
}

void
SetTimer(event* aTimer, Duration aTime)
{
  auto time = ToTimeval(std::max(aTime, Duration(0)));
  evtimer_add(aTimer, &time);
}

}

struct EventHttpClient::Exchange
{
  EventHttpClient* mClient = nullptr;
  Lane* mLane = nullptr;
  EventHttpRequest mRequest;
  Callback mCallback;
  event* mTimer = nullptr;
  evhttp_connection* mConnection = nullptr;
  // Owned by the connection, which frees it along with itself.
  evhttp_request* mSent = nullptr;
  // The connection that only tells whether anything listens.
  bufferevent* mCheck = nullptr;
  std::chrono::steady_clock::time_point mCalledAt;
  std::chrono::steady_clock::time_point mSentAt;
  // When the request was sent that the connection has answered last, and when it was answered.
  std::chrono::steady_clock::time_point mAskedAt;
  std::chrono::steady_clock::time_point mAnsweredAt;
  Duration mWaitedForConnection{ 0 };
  std::optional<Duration> mIdleBefore;
  // The process that has named itself on the connection; 0 if none has.
  std::int64_t mProcessThere = 0;
  // The connection has stayed open after an answer.
  bool mIsKept = false;
  // The head of the answer has arrived.
  bool mHasHead = false;
  Stage mStage = Stage::Waiting;
  // By the clock that goes on in a suspension: a request is not sent long after it was decided on.
  Duration mCalledAtBoot{ 0 };
  // What had arrived of the answer when the timer was last set.
  std::size_t mReceivedBytes = 0;
  std::list<std::unique_ptr<Exchange>>::iterator mSelf;

  // The time that is left for the whole call, with its introduction.
  [[nodiscard]] Duration TimeLeft() const
  {
    return mRequest.mTimeout - (BootTime() - mCalledAtBoot);
  }
};

struct EventHttpClient::Lane
{
  struct IdleConnection
  {
    evhttp_connection* mConnection = nullptr;
    std::chrono::steady_clock::time_point mAskedAt;
    std::chrono::steady_clock::time_point mAnsweredAt;
    // The process that has named itself on it; 0 if none has.
    std::int64_t mProcess = 0;
  };

  std::string mAddress;
  std::vector<IdleConnection> mIdle;
  std::size_t mOpen = 0;
  std::list<std::unique_ptr<Exchange>> mExchanges;
  std::list<Exchange*> mWaiting;
  ClosedInTurn mClosed;
};

EventHttpClient::EventHttpClient(event_base* aBase, const EventHttpClientSettings& aSettings)
  : mBase(aBase)
  , mSettings(aSettings)
{
  mCleanUp = evtimer_new(mBase, OnCleanUp, this);
}

EventHttpClient::~EventHttpClient()
{
  for (auto& [key, lane] : mLanes) {
    for (auto& exchange : lane->mExchanges) {
      event_free(exchange->mTimer);
      if (exchange->mConnection != nullptr) {
        evhttp_connection_free(exchange->mConnection);
      }
      if (exchange->mCheck != nullptr) {
        bufferevent_free(exchange->mCheck);
      }
    }
    for (const auto& idle : lane->mIdle) {
      evhttp_connection_free(idle.mConnection);
    }
  }
  OnCleanUp(-1, 0, this);
  event_free(mCleanUp);
}

void
EventHttpClient::Call(EventHttpRequest aRequest, Callback aCallback)
{
  auto& lane = mLanes[{ aRequest.mAddress, aRequest.mLane }];
  if (!lane) {
    lane = std::make_unique<Lane>();
    lane->mAddress = aRequest.mAddress;
  }
  auto& exchange = *lane->mExchanges.emplace_back(std::make_unique<Exchange>());
  exchange.mClient = this;
  exchange.mLane = lane.get();
  exchange.mRequest = std::move(aRequest);
  exchange.mCallback = std::move(aCallback);
  exchange.mSelf = std::prev(lane->mExchanges.end());
  exchange.mCalledAt = std::chrono::steady_clock::now();
  if (exchange.mRequest.mProcess != 0) {
    exchange.mCalledAtBoot = BootTime();
  }
  exchange.mTimer = evtimer_new(mBase, OnTimeout, &exchange);
  SetTimer(exchange.mTimer, exchange.mRequest.mTimeout);
  lane->mWaiting.push_back(&exchange);
  SendNext(*lane);
}

void
EventHttpClient::SendNext(Lane& aLane)
{
  while (!aLane.mWaiting.empty()) {
    auto hasConnection = !aLane.mIdle.empty() || aLane.mOpen < mSettings.mMaxConnections;
    if (!hasConnection) {
      return;
    }
    auto& exchange = *aLane.mWaiting.front();
    aLane.mWaiting.pop_front();
    Send(aLane, exchange);
  }
}

void
EventHttpClient::Send(Lane& aLane, Exchange& aExchange)
{
  TakeConnection(aLane, aExchange);
  auto waited = std::chrono::steady_clock::now() - aExchange.mCalledAt;
  aExchange.mWaitedForConnection = std::chrono::duration_cast<Duration>(waited);
  const auto& request = aExchange.mRequest;
  if (request.mProcess == 0 || request.mProcess == aExchange.mProcessThere) {
    SendRequest(aExchange);
  } else {
    SendIntroduction(aExchange);
  }
}

void
EventHttpClient::TakeConnection(Lane& aLane, Exchange& aExchange)
{
  auto process = aExchange.mRequest.mProcess;
  std::erase_if(aLane.mIdle, [&](const Lane::IdleConnection& aIdle) {
    auto isOfAnother = process != 0 && aIdle.mProcess != 0 && aIdle.mProcess != process;
    if (isOfAnother) {
      FreeLater(aIdle.mConnection);
      --aLane.mOpen;
    }
    return isOfAnother;
  });
  DropClosing(aLane);
  if (aLane.mIdle.empty()) {
    OpenConnection(aExchange);
    return;
  }
  auto isNamed = [&](const Lane::IdleConnection& aIdle) {
    return aIdle.mProcess == process && IsOpen(aIdle.mConnection);
  };
  auto found = std::find_if(aLane.mIdle.rbegin(), aLane.mIdle.rend(), isNamed);
  auto taken = found == aLane.mIdle.rend() ? std::prev(aLane.mIdle.end()) : std::prev(found.base());
  auto idleFor = std::chrono::steady_clock::now() - taken->mAnsweredAt;
  aExchange.mConnection = taken->mConnection;
  aExchange.mAskedAt = taken->mAskedAt;
  aExchange.mAnsweredAt = taken->mAnsweredAt;
  aExchange.mIsKept = IsOpen(taken->mConnection);
  aExchange.mProcessThere = aExchange.mIsKept ? taken->mProcess : 0;
  aExchange.mIdleBefore = std::chrono::duration_cast<Duration>(idleFor);
  aLane.mIdle.erase(taken);
}

void
EventHttpClient::DropClosing(Lane& aLane)
{
  if (!aLane.mClosed.IsReached()) {
    return;
  }
  auto now = std::chrono::steady_clock::now();
  std::erase_if(aLane.mIdle, [&](const Lane::IdleConnection& aIdle) {
    auto mayBeClosing = now - aIdle.mAnsweredAt < kTimeToClose;
    if (mayBeClosing) {
      FreeLater(aIdle.mConnection);
      --aLane.mOpen;
    }
    return mayBeClosing;
  });
}

void
EventHttpClient::OpenConnection(Exchange& aExchange)
{
  aExchange.mConnection = Connect(*aExchange.mLane);
  aExchange.mProcessThere = 0;
  aExchange.mIsKept = false;
  ++aExchange.mLane->mOpen;
}

void
EventHttpClient::SendRequest(Exchange& aExchange)
{
  if (aExchange.mStage == Stage::Introducing) {
    SetTimer(aExchange.mTimer, aExchange.TimeLeft());
  }
  aExchange.mStage = Stage::Sent;
  aExchange.mSentAt = std::chrono::steady_clock::now();
  Transmit(aExchange, aExchange.mRequest.mPath, aExchange.mRequest.mBody);
}

void
EventHttpClient::SendIntroduction(Exchange& aExchange)
{
  const auto& introduction = aExchange.mRequest.mIntroduction;
  aExchange.mStage = Stage::Introducing;
  aExchange.mSentAt = std::chrono::steady_clock::now();
  SetTimer(aExchange.mTimer, std::min(aExchange.TimeLeft(), introduction.mTimeout));
  Transmit(aExchange, introduction.mPath, introduction.mBody);
}

void
EventHttpClient::Transmit(Exchange& aExchange, const std::string& aPath, const std::string& aBody)
{
  auto* request = evhttp_request_new(OnAnswer, &aExchange);
  aExchange.mSent = request;
  aExchange.mHasHead = false;
  evhttp_request_set_header_cb(request, OnHead);
  auto* headers = evhttp_request_get_output_headers(request);
  for (const auto& [name, value] : aExchange.mRequest.mHeaders) {
    evhttp_add_header(headers, name.c_str(), value.c_str());
  }
  if (evhttp_find_header(headers, "Host") == nullptr) {
    evhttp_add_header(headers, "Host", aExchange.mRequest.mAddress.c_str());
  }
  evbuffer_add(evhttp_request_get_output_buffer(request), aBody.data(), aBody.size());
  evhttp_make_request(
    aExchange.mConnection, request, CommandOf(aExchange.mRequest.mMethod), aPath.c_str());
}

void
EventHttpClient::OnIntroduced(Exchange& aExchange, EventHttpResponse aResponse)
{
  const auto& request = aExchange.mRequest;
  auto& lane = *aExchange.mLane;
  auto process = aResponse.mAnswered ? request.mIntroduction.mProcessOf(aResponse) : 0;
  aExchange.mProcessThere = process;
  aExchange.mAskedAt = aExchange.mSentAt;
  aExchange.mAnsweredAt = std::chrono::steady_clock::now();
  aExchange.mIsKept = aResponse.mAnswered && IsOpen(aExchange.mConnection);
  auto isClosed = aResponse.mAnswered && !aExchange.mIsKept;
  if (isClosed) {
    lane.mClosed.NoteClosed(process, aExchange.mAskedAt, aExchange.mAnsweredAt);
  }
  auto mayReopen = lane.mClosed.Closes(process);
  auto isInTime = aExchange.TimeLeft() >= request.mTimeout - request.mIntroduction.mTimeout / 2;
  if (process != request.mProcess || !isInTime || (isClosed && !mayReopen)) {
    Finish(aExchange, std::move(aResponse));
    return;
  }
  if (mayReopen) {
    Abandon(aExchange);
    OpenConnection(aExchange);
  }
  SendRequest(aExchange);
}

evhttp_connection*
EventHttpClient::Connect(const Lane& aLane)
{
  auto to = ParseEndpoint(aLane.mAddress);
  auto* connection = evhttp_connection_base_new(mBase, nullptr, to.mHost.c_str(), to.mPort);
  evhttp_connection_set_retries(connection, 0);
  evhttp_connection_set_timeout(connection, kIdleLimitSeconds);
  evhttp_connection_set_max_body_size(connection, mSettings.mMaxBodyBytes);
  ++mOpened;
  return connection;
}

void
EventHttpClient::OnAnswer(evhttp_request* aRequest, void* aExchange)
{
  auto& exchange = *static_cast<Exchange*>(aExchange);
  EventHttpResponse response;
  if (exchange.mRequest.mAsksForListener && HasNotConnected(aRequest, !exchange.mIdleBefore)) {
    exchange.mClient->CheckListener(exchange);
    return;
  }
  if (aRequest != nullptr && evhttp_request_get_response_code(aRequest) != 0) {
    response.mAnswered = true;
    response.mStatus = evhttp_request_get_response_code(aRequest);
    response.mBody = BodyOf(aRequest);
    response.mReceivedBytes = response.mBody.size();
  }
  exchange.mClient->NoteConnection(exchange, response.mAnswered);
  if (exchange.mStage == Stage::Introducing) {
    exchange.mClient->OnIntroduced(exchange, std::move(response));
    return;
  }
  // Once known it stays so: connections of a former process are closed by the next request.
  if (response.mAnswered && exchange.mRequest.mAnswerNamesProcess && exchange.mProcessThere == 0) {
    exchange.mProcessThere = exchange.mRequest.mIntroduction.mProcessOf(response);
  }
  exchange.mClient->Finish(exchange, std::move(response));
}

int
EventHttpClient::OnHead(evhttp_request* /*aRequest*/, void* aExchange)
{
  static_cast<Exchange*>(aExchange)->mHasHead = true;
  return 0;
}

void
EventHttpClient::NoteConnection(const Exchange& aExchange, bool aIsAnswered)
{
  auto& closed = aExchange.mLane->mClosed;
  if (aIsAnswered && aExchange.mIsKept) {
    closed.NoteKept();
  }
  auto hasJustAnswered = aExchange.mSentAt - aExchange.mAnsweredAt < kTimeToClose;
  auto isNamed = aExchange.mIsKept && aExchange.mProcessThere != 0;
  if (!aIsAnswered && !aExchange.mHasHead && isNamed && hasJustAnswered) {
    auto now = std::chrono::steady_clock::now();
    closed.NoteClosed(aExchange.mProcessThere, aExchange.mAskedAt, now);
  }
}

void
EventHttpClient::Abandon(Exchange& aExchange)
{
  --aExchange.mLane->mOpen;
  FreeLater(std::exchange(aExchange.mConnection, nullptr));
}

void
EventHttpClient::FreeLater(evhttp_connection* aConnection)
{
  mBroken.push_back(aConnection);
  SetTimer(mCleanUp, Duration(0));
}

void
EventHttpClient::CheckListener(Exchange& aExchange)
{
  Abandon(aExchange);
  auto to = ParseEndpoint(aExchange.mRequest.mAddress);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(to.mPort);
  auto isValid = inet_pton(AF_INET, to.mHost.c_str(), &address.sin_addr) == 1;
  aExchange.mCheck =
    isValid ? bufferevent_socket_new(mBase, -1, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS)
            : nullptr;
  if (aExchange.mCheck == nullptr) {
    Finish(aExchange, {});
    return;
  }
  bufferevent_setcb(aExchange.mCheck, nullptr, nullptr, OnListenerCheck, &aExchange);
  auto* to4 = reinterpret_cast<sockaddr*>(&address);
  if (bufferevent_socket_connect(aExchange.mCheck, to4, sizeof address) != 0) {
    Finish(aExchange, {});
  }
}

void
EventHttpClient::OnListenerCheck(bufferevent* /*aConnection*/, short aWhat, void* aExchange)
{
  auto error = EVUTIL_SOCKET_ERROR();
  auto& exchange = *static_cast<Exchange*>(aExchange);
  EventHttpResponse response;
  response.mHasNoListener = (aWhat & BEV_EVENT_ERROR) != 0 && error == ECONNREFUSED;
  exchange.mClient->Finish(exchange, std::move(response));
}

void
EventHttpClient::OnTimeout(int /*aDescriptor*/, short /*aWhat*/, void* aExchange)
{
  auto& exchange = *static_cast<Exchange*>(aExchange);
  EventHttpResponse response;
  if (exchange.mConnection != nullptr) {
    response.mReceivedBytes = ReceivedBytes(exchange.mConnection, exchange.mSent);
  }
  if (exchange.mClient->WaitLonger(exchange, response.mReceivedBytes)) {
    return;
  }
  exchange.mLane->mWaiting.remove(&exchange);
  if (exchange.mConnection != nullptr) {
    if (exchange.mRequest.mResetsWhenGivenUp) {
      ResetOnClose(exchange.mConnection);
    }
    // At once and without a callback: an answer may be there already, and would find no call.
    evhttp_connection_free(exchange.mConnection);
    exchange.mConnection = nullptr;
    --exchange.mLane->mOpen;
    exchange.mClient->CloseIdle(exchange.mRequest.mAddress, exchange.mSentAt);
  }
  exchange.mClient->Finish(exchange, std::move(response));
}

void
EventHttpClient::CloseIdle(const std::string& aAddress,
                           std::chrono::steady_clock::time_point aUnansweredSince)
{
  for (auto entry = mLanes.lower_bound({ aAddress, {} });
       entry != mLanes.end() && entry->first.first == aAddress;
       ++entry) {
    auto& lane = *entry->second;
    std::erase_if(lane.mIdle, [&](const Lane::IdleConnection& aIdle) {
      if (aIdle.mAnsweredAt > aUnansweredSince) {
        return false;
      }
      evhttp_connection_free(aIdle.mConnection);
      --lane.mOpen;
      return true;
    });
  }
}

bool
EventHttpClient::WaitLonger(Exchange& aExchange, std::size_t aReceivedBytes)
{
  auto elapsed =
    std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now() - aExchange.mCalledAt);
  auto left = aExchange.mRequest.mTimeoutWhileReceiving - elapsed;
  auto isArriving = aReceivedBytes > aExchange.mReceivedBytes;
  if (!isArriving || left <= Duration(0)) {
    return false;
  }
  aExchange.mReceivedBytes = aReceivedBytes;
  const auto& request = aExchange.mRequest;
  auto stall = request.mStallTimeout > Duration(0) ? request.mStallTimeout : request.mTimeout;
  SetTimer(aExchange.mTimer, std::min(left, stall));
  return true;
}

void
EventHttpClient::Finish(Exchange& aExchange, EventHttpResponse aResponse)
{
  auto& lane = *aExchange.mLane;
  event_free(aExchange.mTimer);
  aResponse.mWasSent = aExchange.mStage == Stage::Sent;
  aResponse.mWaitedForConnection = aExchange.mWaitedForConnection;
  aResponse.mIdleBefore = aExchange.mIdleBefore;
  CountTraffic(aExchange.mRequest, aResponse, mTraffic[aExchange.mRequest.mKind]);
  if (aExchange.mConnection != nullptr && aResponse.mAnswered) {
    lane.mIdle.push_back({ aExchange.mConnection,
                           aExchange.mSentAt,
                           std::chrono::steady_clock::now(),
                           aExchange.mProcessThere });
  } else if (aExchange.mConnection != nullptr) {
    Abandon(aExchange);
  }
  if (aExchange.mCheck != nullptr) {
    bufferevent_free(aExchange.mCheck);
  }
  auto callback = std::move(aExchange.mCallback);
  lane.mExchanges.erase(aExchange.mSelf);
  callback(aResponse);
  SendNext(lane);
}

void
EventHttpClient::OnCleanUp(int /*aDescriptor*/, short /*aWhat*/, void* aClient)
{
  auto& client = *static_cast<EventHttpClient*>(aClient);
  std::vector<evhttp_connection*> broken;
  broken.swap(client.mBroken);
  for (auto* connection : broken) {
    evhttp_connection_free(connection);
  }
}

}
