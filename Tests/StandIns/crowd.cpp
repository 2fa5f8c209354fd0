#include "LibHttp/Address.h"

#include <CLI/CLI.hpp>
#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <chrono>
#include <functional>
#include <iostream>
#include <map>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

// Opens connections that don't behave: they send requests ahead and read no answer, leave a request
// unfinished, or send nothing. Prints a line once it can send no more, then holds the connections
// until it is ended.
namespace {

using namespace sesameseam;
using namespace std::chrono_literals;

constexpr std::size_t kBytesPerMegabyte = 1024 * 1024;
constexpr std::size_t kMaxBodyBytes = 256 * 1024;
constexpr std::size_t kMaxHeaderBytes = 16 * 1024;
constexpr std::size_t kBlockBytes = 64 * 1024;
// The other side takes nothing more once it has taken nothing for this long.
constexpr int kStallMilliseconds = 1500;

struct Connection
{
  int mDescriptor = -1;
  std::size_t mSent = 0;
};

std::string
Head(const std::string& aMethod, const std::string& aPath, const std::string& aHeaders)
{
  return aMethod + " " + aPath + " HTTP/1.1\r\nHost: x\r\n" + aHeaders;
}

std::string
RequestsAhead(const std::string& aPath, std::size_t aBytes)
{
  auto request = Head("GET", aPath, "\r\n");
  std::string text;
  while (text.size() < aBytes) {
    text += request;
  }
  return text;
}

std::string
UnfinishedBody(const std::string& aPath)
{
  auto length = "Content-Length: " + std::to_string(kMaxBodyBytes) + "\r\n\r\n";
  return Head("POST", aPath, length) + std::string(kMaxBodyBytes - 1, 'x');
}

std::string
UnfinishedChunk(const std::string& aPath)
{
  constexpr char kChunkSize[] = "3f000\r\n";
  constexpr std::size_t kChunkBytes = 0x3f000;
  return Head("POST", aPath, "Transfer-Encoding: chunked\r\n\r\n") + kChunkSize +
         std::string(kChunkBytes - 1, 'x');
}

// Many short lines: each costs the other side more than its bytes.
std::string
UnfinishedHeaders(const std::string& aPath)
{
  auto text = Head("GET", aPath, "");
  constexpr std::size_t kMarginBytes = 1024;
  while (text.size() < kMaxHeaderBytes - kMarginBytes) {
    text += "a:b\r\n";
  }
  return text;
}

int
Connect(const Address& aAddress)
{
  int file = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aAddress.mPort);
  inet_pton(AF_INET, aAddress.mHost.c_str(), &address.sin_addr);
  if (connect(file, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0) {
    close(file);
    return -1;
  }
  return file;
}

// Sends what the other side takes at once. Returns false if the connection is gone.
bool
SendSome(Connection& aConnection, const std::string& aText)
{
  auto bytes = std::min(kBlockBytes, aText.size() - aConnection.mSent);
  auto count = send(
    aConnection.mDescriptor, aText.data() + aConnection.mSent, bytes, MSG_NOSIGNAL | MSG_DONTWAIT);
  if (count < 0) {
    return errno == EAGAIN;
  }
  aConnection.mSent += static_cast<std::size_t>(count);
  return true;
}

std::vector<pollfd>
Writable(const std::vector<Connection>& aConnections, const std::string& aText)
{
  std::vector<pollfd> waiting;
  for (const auto& each : aConnections) {
    auto isDone = each.mDescriptor < 0 || each.mSent == aText.size();
    waiting.push_back({ isDone ? -1 : each.mDescriptor, POLLOUT, 0 });
  }
  return waiting;
}

// Returns the number of connections that the other side has closed while they sent.
int
SendAll(std::vector<Connection>& aConnections, const std::string& aText)
{
  int closed = 0;
  for (;;) {
    auto waiting = Writable(aConnections, aText);
    if (poll(waiting.data(), waiting.size(), kStallMilliseconds) <= 0) {
      return closed;
    }
    for (std::size_t i = 0; i < waiting.size(); ++i) {
      if (waiting[i].revents != 0 && !SendSome(aConnections[i], aText)) {
        close(aConnections[i].mDescriptor);
        aConnections[i].mDescriptor = -1;
        closed += 1;
      }
    }
  }
}

}

int
main(int aCount, char** aArguments)
{
  CLI::App app("Opens connections that don't behave");
  std::string target;
  std::string kind;
  std::string path = "/";
  int connections = 4;
  std::size_t megabytes = 32;
  const std::map<std::string, std::function<std::string()>> texts{
    { "ahead", [&] { return RequestsAhead(path, megabytes * kBytesPerMegabyte); } },
    { "body", [&] { return UnfinishedBody(path); } },
    { "chunk", [&] { return UnfinishedChunk(path); } },
    { "headers", [&] { return UnfinishedHeaders(path); } },
    { "line", [&] { return Head("GET", path, "").substr(0, 3); } },
    { "idle", [] { return std::string(); } },
  };
  app.add_option("--target", target)->required();
  app.add_option("--kind", kind, "What they send")->required()->check(CLI::IsMember(texts));
  app.add_option("--path", path);
  app.add_option("--connections", connections);
  app.add_option("--megabytes", megabytes, "What each sends ahead at most");
  CLI11_PARSE(app, aCount, aArguments);
  auto address = ParseAddress(target);
  if (!address.ok()) {
    std::cerr << address.status().message() << "\n";
    return 2;
  }
  std::vector<Connection> crowd;
  crowd.reserve(static_cast<std::size_t>(connections));
  for (int i = 0; i < connections; ++i) {
    crowd.push_back({ Connect(*address) });
  }
  auto closed = SendAll(crowd, texts.at(kind)());
  std::size_t sent = 0;
  for (const auto& each : crowd) {
    sent += each.mSent;
  }
  std::cout << "holds " << connections << " connections, sent " << sent / kBytesPerMegabyte
            << " MB, closed while sending " << closed << std::endl;
  pause();
  return 0;
}
