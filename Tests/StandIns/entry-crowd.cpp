#include "LibHttp/Address.h"

#include <CLI/CLI.hpp>
#include <algorithm>
#include <arpa/inet.h>
#include <chrono>
#include <csignal>
#include <fcntl.h>
#include <functional>
#include <iostream>
#include <map>
#include <poll.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

// A crowd of clients that leave something unfinished: they send requests ahead and read no answer,
// stop within a header or a body, say nothing, or reset their connections. Says when it has sent
// what the server takes, and keeps its connections until it is ended.
namespace {

using namespace sesameseam;

// The server takes no more when nobody in the crowd could send for this long.
constexpr std::chrono::milliseconds kSilence = std::chrono::seconds(2);
// Between two connections: those that come at once beyond the server's backlog would be lost.
constexpr std::chrono::milliseconds kConnectInterval{ 5 };
constexpr std::size_t kRepeatedBytes = 65536;

// What each client sends: mOnce, then mRepeated over and over, mBytes in all.
struct Speech
{
  std::string mOnce;
  std::string mRepeated;
  std::size_t mBytes = 0;
};

struct Client
{
  int mFile = -1;
  std::size_t mSent = 0;
  bool mConnected = false;
  bool mBroken = false;
};

std::string
RequestLines(const std::string& aMethod, const std::string& aPath)
{
  return aMethod + " " + aPath + " HTTP/1.1\r\nHost: x\r\n";
}

Speech
Ahead(const std::string& aPath, std::size_t aBytes)
{
  Speech speech;
  auto request = RequestLines("GET", aPath) + "\r\n";
  while (speech.mRepeated.size() < kRepeatedBytes) {
    speech.mRepeated += request;
  }
  speech.mBytes = aBytes;
  return speech;
}

Speech
Unfinished(std::string aOnce, std::size_t aBytes)
{
  Speech speech;
  speech.mBytes = aOnce.size() + aBytes;
  speech.mOnce = std::move(aOnce);
  speech.mRepeated = std::string(kRepeatedBytes, 'x');
  return speech;
}

// All of a body but its last byte.
Speech
Body(const std::string& aPath, std::size_t aBytes)
{
  auto lines =
    RequestLines("POST", aPath) + "Content-Length: " + std::to_string(aBytes) + "\r\n\r\n";
  return Unfinished(lines, aBytes - 1);
}

// A call to a peer with a text of this many bytes, all but its last one.
Speech
PeerCall(std::size_t aBytes)
{
  std::string call("\x80\x01\x00\x01\x00\x00\x00\x07"
                   "forward\x00\x00\x00\x01\x0c\x00\x01\x0b\x00\x01",
                   25);
  for (int shift = 24; shift >= 0; shift -= 8) {
    call += static_cast<char>(aBytes >> static_cast<unsigned>(shift));
  }
  return Unfinished(call, aBytes - 1);
}

// The beginning of a report to a peer, with a list of so many elements, none of which comes.
Speech
PeerList(std::size_t aElements)
{
  std::string call("\x80\x01\x00\x01\x00\x00\x00\x08"
                   "exchange\x00\x00\x00\x01\x0c\x00\x01\x0f\x00\x06\x0c",
                   27);
  for (int shift = 24; shift >= 0; shift -= 8) {
    call += static_cast<char>(aElements >> static_cast<unsigned>(shift));
  }
  return Unfinished(call, 0);
}

Speech
SpeechOf(const std::string& aKind, const std::string& aPath, std::size_t aBytes)
{
  const std::map<std::string, std::function<Speech()>> kinds = {
    { "ahead", [&] { return Ahead(aPath, aBytes); } },
    { "line", [&] { return Unfinished("GET " + aPath, aBytes); } },
    { "head", [&] { return Unfinished(RequestLines("GET", aPath) + "X-Long: ", aBytes); } },
    { "body", [&] { return Body(aPath, aBytes); } },
    { "peer", [&] { return PeerCall(aBytes); } },
    { "list", [&] { return PeerList(aBytes); } },
    { "idle", [&] { return Speech(); } },
  };
  return kinds.at(aKind)();
}

int
Connect(const Address& aAddress)
{
  int file = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aAddress.mPort);
  inet_pton(AF_INET, aAddress.mHost.c_str(), &address.sin_addr);
  if (connect(file, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0 &&
      errno != EINPROGRESS) {
    close(file);
    return -1;
  }
  return file;
}

bool
IsDone(const Client& aClient, const Speech& aSpeech)
{
  return aClient.mBroken || (aClient.mConnected && aClient.mSent >= aSpeech.mBytes);
}

void
SendSome(Client& aClient, const Speech& aSpeech)
{
  aClient.mConnected = true;
  const auto left = aSpeech.mBytes - aClient.mSent;
  if (left == 0) {
    return;
  }
  std::string_view part;
  if (aClient.mSent < aSpeech.mOnce.size()) {
    part = std::string_view(aSpeech.mOnce).substr(aClient.mSent);
  } else {
    part = std::string_view(aSpeech.mRepeated)
             .substr((aClient.mSent - aSpeech.mOnce.size()) % aSpeech.mRepeated.size());
  }
  auto count = send(aClient.mFile, part.data(), std::min(part.size(), left), MSG_NOSIGNAL);
  if (count >= 0) {
    aClient.mSent += static_cast<std::size_t>(count);
  } else if (errno != EAGAIN && errno != EINTR && errno != ENOTCONN) {
    aClient.mBroken = true;
  }
}

void
SendAll(std::vector<Client>& aClients, const Speech& aSpeech)
{
  while (true) {
    std::vector<pollfd> waiting;
    std::vector<Client*> senders;
    for (auto& client : aClients) {
      if (!IsDone(client, aSpeech)) {
        waiting.push_back({ client.mFile, POLLOUT, 0 });
        senders.push_back(&client);
      }
    }
    if (waiting.empty() ||
        poll(waiting.data(), waiting.size(), static_cast<int>(kSilence.count())) <= 0) {
      return;
    }
    for (std::size_t i = 0; i < waiting.size(); ++i) {
      if ((static_cast<unsigned>(waiting[i].revents) & POLLOUT) != 0) {
        SendSome(*senders[i], aSpeech);
      } else if (waiting[i].revents != 0) {
        senders[i]->mBroken = true;
      }
    }
  }
}

// Closes with a reset, whatever the server has sent.
void
Reset(const Client& aClient)
{
  linger now{ 1, 0 };
  setsockopt(aClient.mFile, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
  close(aClient.mFile);
}

}

int
main(int aCount, char** aArguments)
{
  CLI::App app("A crowd of clients that leave something unfinished");
  std::string target;
  std::string kind;
  std::string path = "/";
  int connections = 1;
  std::size_t bytes = 1;
  int resets = 0;
  app.add_option("--target", target)->required();
  app.add_option("--kind", kind)
    ->required()
    ->check(CLI::IsMember({ "ahead", "line", "head", "body", "peer", "list", "idle" }));
  app.add_option("--path", path);
  app.add_option("--connections", connections);
  app.add_option(
    "--bytes", bytes, "What each client sends, the size of a body, or the elements of a list");
  app.add_option("--resets", resets, "Resets all connections and begins anew, so many times");
  CLI11_PARSE(app, aCount, aArguments);
  auto address = ParseAddress(target);
  if (!address.ok()) {
    std::cerr << address.status().message() << "\n";
    return 2;
  }
  const auto speech = SpeechOf(kind, path, bytes);
  std::vector<Client> clients;
  for (int round = 0; round <= resets; ++round) {
    std::for_each(clients.begin(), clients.end(), Reset);
    clients.assign(static_cast<std::size_t>(connections), Client());
    for (auto& client : clients) {
      client.mFile = Connect(*address);
      client.mBroken = client.mFile < 0;
      std::this_thread::sleep_for(kConnectInterval);
    }
    SendAll(clients, speech);
  }
  std::size_t sent = 0;
  int broken = 0;
  int connected = 0;
  for (const auto& client : clients) {
    sent += client.mSent;
    broken += client.mBroken ? 1 : 0;
    connected += client.mConnected ? 1 : 0;
  }
  std::cout << "stands: " << connected << " of " << connections << " connected, " << broken
            << " closed while sending, " << sent << " bytes sent" << std::endl;
  pause();
  return 0;
}
