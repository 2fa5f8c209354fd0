#include "Http.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cctype>
#include <cerrno>
#include <chrono>
#include <cstdlib>
#include <fcntl.h>
#include <iostream>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <random>
#include <sys/socket.h>
#include <unistd.h>

namespace review {

namespace {

sockaddr_in
ParseAddress(const std::string& aAddress)
{
  auto colon = aAddress.rfind(':');
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(std::atoi(aAddress.c_str() + colon + 1)));
  inet_pton(AF_INET, aAddress.substr(0, colon).c_str(), &address.sin_addr);
  return address;
}

int
TryListen(const std::string& aAddress)
{
  auto listener = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  int yes = 1;
  setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
  auto address = ParseAddress(aAddress);
  constexpr int kBacklog = 512;
  if (bind(listener, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 ||
      listen(listener, kBacklog) != 0) {
    close(listener);
    return -1;
  }
  return listener;
}

std::string
ToLower(std::string aText)
{
  std::transform(aText.begin(), aText.end(), aText.begin(), [](unsigned char aCharacter) {
    return static_cast<char>(std::tolower(aCharacter));
  });
  return aText;
}

std::string
Trimmed(const std::string& aText)
{
  auto first = aText.find_first_not_of(" \t");
  auto last = aText.find_last_not_of(" \t\r");
  return first == std::string::npos ? std::string() : aText.substr(first, last - first + 1);
}

void
ParseTarget(const std::string& aTarget, Request& aRequest)
{
  auto question = aTarget.find('?');
  aRequest.mPath = aTarget.substr(0, question);
  if (question == std::string::npos) {
    return;
  }
  auto rest = aTarget.substr(question + 1);
  while (!rest.empty()) {
    auto end = std::min(rest.find('&'), rest.size());
    auto part = rest.substr(0, end);
    auto equals = part.find('=');
    if (equals != std::string::npos) {
      aRequest.mQueries[part.substr(0, equals)] = part.substr(equals + 1);
    }
    rest.erase(0, end + 1);
  }
}

std::string
FindOr(const std::map<std::string, std::string>& aMap, const std::string& aName)
{
  auto found = aMap.find(aName);
  return found == aMap.end() ? std::string() : found->second;
}

}

std::int64_t
NowMs()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

std::vector<int>
FreePorts(int aCount)
{
  constexpr int kFirst = 20000;
  constexpr int kLast = 31000;
  std::mt19937 random(std::random_device{}());
  std::uniform_int_distribution<int> pick(kFirst, kLast);
  std::vector<int> ports;
  std::vector<int> listeners;
  while (static_cast<int>(ports.size()) < aCount) {
    auto port = pick(random);
    auto listener = TryListen("127.0.0.1:" + std::to_string(port));
    if (listener >= 0) {
      ports.push_back(port);
      listeners.push_back(listener);
    }
  }
  for (auto listener : listeners) {
    close(listener);
  }
  return ports;
}

// Whether the text is a whole answer.
static bool
IsWhole(const std::string& aText)
{
  auto end = aText.find("\r\n\r\n");
  if (end == std::string::npos) {
    return false;
  }
  auto head = ToLower(aText.substr(0, end));
  auto length = head.find("content-length:");
  constexpr std::size_t kNameLength = 15;
  auto body = length == std::string::npos ? 0 : std::atoll(head.c_str() + length + kNameLength);
  return aText.size() >= end + 4 + static_cast<std::size_t>(body);
}

Reply
Call(const std::string& aAddress,
     const std::string& aHead,
     const std::string& aBody,
     int aTimeoutMs)
{
  auto until = NowMs() + aTimeoutMs;
  auto connection = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  auto address = ParseAddress(aAddress);
  if (connect(connection, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) {
    close(connection);
    return {};
  }
  auto out = aHead + "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
  while (!out.empty()) {
    auto count = write(connection, out.data(), out.size());
    if (count <= 0) {
      break;
    }
    out.erase(0, static_cast<std::size_t>(count));
  }
  std::string in;
  while (!IsWhole(in) && NowMs() < until) {
    pollfd readable{ connection, POLLIN, 0 };
    poll(&readable, 1, static_cast<int>(std::max<std::int64_t>(1, until - NowMs())));
    char buffer[4096];
    auto count = recv(connection, buffer, sizeof buffer, MSG_DONTWAIT);
    if (count < 0 && (errno == EAGAIN || errno == EINTR)) {
      continue;
    }
    if (count <= 0) {
      break;
    }
    in.append(buffer, static_cast<std::size_t>(count));
  }
  close(connection);
  Reply reply;
  if (IsWhole(in)) {
    reply.mStatus = std::atoi(in.c_str() + in.find(' ') + 1);
    reply.mBody = in.substr(in.find("\r\n\r\n") + 4);
  }
  return reply;
}

std::string
Request::Query(const std::string& aName) const
{
  return FindOr(mQueries, aName);
}

std::string
Request::Header(const std::string& aName) const
{
  return FindOr(mHeaders, aName);
}

void
HttpServer::Listen(const std::string& aAddress)
{
  auto listener = TryListen(aAddress);
  if (listener < 0) {
    std::cerr << "cannot listen at " << aAddress << "\n";
    std::exit(2);
  }
  mListeners[aAddress] = listener;
  if (std::find(mAddresses.begin(), mAddresses.end(), aAddress) == mAddresses.end()) {
    mAddresses.push_back(aAddress);
  }
}

void
HttpServer::Close(const std::string& aAddress)
{
  close(mListeners.at(aAddress));
  mListeners.erase(aAddress);
  for (auto& [id, connection] : mConnections) {
    if (connection.mListener == aAddress) {
      linger reset{ 1, 0 };
      setsockopt(connection.mSocket, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
      connection.mIsClosed = true;
    }
  }
}

std::size_t
HttpServer::IndexOf(const std::string& aAddress) const
{
  auto found = std::find(mAddresses.begin(), mAddresses.end(), aAddress);
  return static_cast<std::size_t>(found - mAddresses.begin());
}

void
HttpServer::Accept(const std::string& aAddress, int aListener)
{
  while (true) {
    auto socket = accept4(aListener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (socket < 0) {
      return;
    }
    int yes = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
    Connection connection;
    connection.mSocket = socket;
    connection.mListener = aAddress;
    mConnections[mNextConnection++] = connection;
  }
}

void
HttpServer::ReadFrom(Connection& aConnection)
{
  char buffer[65536];
  while (true) {
    auto count = read(aConnection.mSocket, buffer, sizeof buffer);
    if (count > 0) {
      aConnection.mIn.append(buffer, static_cast<std::size_t>(count));
      continue;
    }
    aConnection.mIsClosed |= count == 0 || (errno != EAGAIN && errno != EINTR);
    return;
  }
}

void
HttpServer::WriteTo(Connection& aConnection)
{
  while (!aConnection.mOut.empty()) {
    auto count = write(aConnection.mSocket, aConnection.mOut.data(), aConnection.mOut.size());
    if (count < 0) {
      aConnection.mIsClosed |= errno != EAGAIN && errno != EINTR;
      return;
    }
    aConnection.mOut.erase(0, static_cast<std::size_t>(count));
  }
}

bool
HttpServer::TakeRequest(int aId, Connection& aConnection, Request& aRequest)
{
  auto end = aConnection.mIn.find("\r\n\r\n");
  if (aConnection.mIsBusy || end == std::string::npos) {
    return false;
  }
  auto head = aConnection.mIn.substr(0, end);
  std::size_t line = head.find("\r\n");
  auto first = head.substr(0, line);
  while (line != std::string::npos) {
    auto next = head.find("\r\n", line + 2);
    auto text = head.substr(line + 2, next == std::string::npos ? next : next - line - 2);
    auto colon = text.find(':');
    if (colon != std::string::npos) {
      aRequest.mHeaders[ToLower(text.substr(0, colon))] = Trimmed(text.substr(colon + 1));
    }
    line = next;
  }
  auto length = static_cast<std::size_t>(std::atoll(aRequest.Header("content-length").c_str()));
  if (aConnection.mIn.size() < end + 4 + length) {
    return false;
  }
  aRequest.mBody = aConnection.mIn.substr(end + 4, length);
  aConnection.mIn.erase(0, end + 4 + length);
  auto space = first.find(' ');
  aRequest.mMethod = first.substr(0, space);
  ParseTarget(first.substr(space + 1, first.rfind(' ') - space - 1), aRequest);
  aRequest.mConnection = aId;
  aRequest.mListener = aConnection.mListener;
  aConnection.mIsBusy = true;
  return true;
}

std::vector<Request>
HttpServer::Poll(int aTimeoutMs)
{
  std::erase_if(mConnections, [](const auto& aEntry) {
    if (aEntry.second.mIsClosed) {
      close(aEntry.second.mSocket);
    }
    return aEntry.second.mIsClosed;
  });
  std::vector<pollfd> sockets;
  for (const auto& [address, listener] : mListeners) {
    sockets.push_back({ listener, POLLIN, 0 });
  }
  for (const auto& [id, connection] : mConnections) {
    short events = POLLIN;
    events = static_cast<short>(connection.mOut.empty() ? events : events | POLLOUT);
    sockets.push_back({ connection.mSocket, events, 0 });
  }
  poll(sockets.data(), sockets.size(), aTimeoutMs);
  for (const auto& [address, listener] : mListeners) {
    Accept(address, listener);
  }
  std::vector<Request> requests;
  for (auto& [id, connection] : mConnections) {
    ReadFrom(connection);
    WriteTo(connection);
    Request request;
    if (TakeRequest(id, connection, request)) {
      requests.push_back(std::move(request));
    }
  }
  return requests;
}

void
HttpServer::Answer(const Request& aRequest, const Reply& aReply)
{
  auto found = mConnections.find(aRequest.mConnection);
  if (found == mConnections.end()) {
    return;
  }
  auto& connection = found->second;
  connection.mIsBusy = false;
  connection.mOut += "HTTP/1.1 " + std::to_string(aReply.mStatus) +
                     " Answer\r\nContent-Type: application/json\r\nContent-Length: " +
                     std::to_string(aReply.mBody.size()) + "\r\n\r\n" + aReply.mBody;
  WriteTo(connection);
}

void
HttpServer::Drop(const Request& aRequest)
{
  auto found = mConnections.find(aRequest.mConnection);
  if (found != mConnections.end()) {
    found->second.mIsClosed = true;
  }
}

}
