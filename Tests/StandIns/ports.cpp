#include <arpa/inet.h>
#include <cstdint>
#include <cstdlib>
#include <iostream>
#include <netinet/in.h>
#include <random>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

namespace {

// Below the range from which the system takes the ports of outgoing connections, so that none of
// these takes a port between this program's check and its use.
constexpr std::uint16_t kFirstPort = 20100;
constexpr std::uint16_t kLastPort = 31999;
constexpr int kMaxTries = 20000;

// Returns whether the port was free; the socket then holds it.
bool
Bind(int aSocket, std::uint16_t aPort)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(aPort);
  return bind(aSocket, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0;
}

}

// Prints ports that are free, one a line. They are taken at random, so that two tests that run at
// the same time seldom choose the same.
int
main(int aCount, char** aArguments)
{
  std::size_t wanted = aCount > 1 ? std::strtoul(aArguments[1], nullptr, 10) : 1;
  std::mt19937 random(std::random_device{}());
  std::uniform_int_distribution<int> ports(kFirstPort, kLastPort);
  std::vector<int> sockets;
  for (int tries = 0; sockets.size() < wanted && tries < kMaxTries; ++tries) {
    auto port = static_cast<std::uint16_t>(ports(random));
    int descriptor = socket(AF_INET, SOCK_STREAM, 0);
    if (!Bind(descriptor, port)) {
      close(descriptor);
      continue;
    }
    std::cout << port << "\n";
    sockets.push_back(descriptor);
  }
  for (int descriptor : sockets) {
    close(descriptor);
  }
  if (sockets.size() < wanted) {
    std::cerr << "no free port\n";
    return 1;
  }
  return 0;
}
