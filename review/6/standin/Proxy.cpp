#include <algorithm>
#include <arpa/inet.h>
#include <csignal>
#include <cstdlib>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <string>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

// Forwards each connection to another address. While the process is stopped by a signal, nothing
// passes, as behind a partition; what was sent meanwhile arrives afterwards.
namespace {

constexpr std::size_t kBufferBytes = 65536;

sockaddr_in
ParseAddress(const std::string& aText)
{
  auto colon = aText.rfind(':');
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port =
    htons(static_cast<std::uint16_t>(std::strtol(aText.c_str() + colon + 1, nullptr, 10)));
  inet_pton(AF_INET, aText.substr(0, colon).c_str(), &address.sin_addr);
  return address;
}

int
MakeSocket()
{
  auto handle = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int on = 1;
  setsockopt(handle, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  setsockopt(handle, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return handle;
}

struct Link
{
  int mCaller = -1;
  int mServer = -1;
};

// Passes on what has arrived. Returns false once one side has closed the connection.
bool
Forward(int aFrom, int aTo)
{
  static char buffer[kBufferBytes];
  auto received = read(aFrom, buffer, sizeof buffer);
  for (ssize_t sent = 0; sent < received;) {
    auto written = write(aTo, buffer + sent, static_cast<std::size_t>(received - sent));
    if (written <= 0) {
      return false;
    }
    sent += written;
  }
  return received > 0;
}

void
Accept(int aListener, const sockaddr_in& aServer, std::vector<Link>& aLinks)
{
  Link link{ accept4(aListener, nullptr, nullptr, SOCK_CLOEXEC), MakeSocket() };
  int on = 1;
  setsockopt(link.mCaller, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  const auto* server = reinterpret_cast<const sockaddr*>(&aServer);
  if (connect(link.mServer, server, sizeof aServer) != 0) {
    close(link.mCaller);
    close(link.mServer);
    return;
  }
  aLinks.push_back(link);
}

}

// Usage: proxy ADDRESS SERVER-ADDRESS
int
main(int aCount, char** aArguments)
{
  if (aCount != 3) {
    return 2;
  }
  signal(SIGPIPE, SIG_IGN);
  auto address = ParseAddress(aArguments[1]);
  auto server = ParseAddress(aArguments[2]);
  auto listener = MakeSocket();
  if (bind(listener, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 ||
      listen(listener, SOMAXCONN) != 0) {
    return 2;
  }
  std::vector<Link> links;
  for (;;) {
    std::vector<pollfd> polled{ { listener, POLLIN, 0 } };
    for (const auto& link : links) {
      polled.push_back({ link.mCaller, POLLIN, 0 });
      polled.push_back({ link.mServer, POLLIN, 0 });
    }
    poll(polled.data(), polled.size(), -1);
    std::size_t at = 1;
    std::erase_if(links, [&](const Link& aLink) {
      auto fromCaller = polled[at++].revents != 0;
      auto fromServer = polled[at++].revents != 0;
      auto isOpen = (!fromCaller || Forward(aLink.mCaller, aLink.mServer)) &&
                    (!fromServer || Forward(aLink.mServer, aLink.mCaller));
      if (!isOpen) {
        close(aLink.mCaller);
        close(aLink.mServer);
      }
      return !isOpen;
    });
    if (polled.front().revents != 0) {
      Accept(listener, server, links);
    }
  }
}
