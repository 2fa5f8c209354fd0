#include <arpa/inet.h>
#include <cstdlib>
#include <iostream>
#include <netinet/in.h>
#include <random>
#include <sys/socket.h>

namespace {

// Below the ports that the system gives to outgoing connections.
constexpr int kFirstPort = 12000;
constexpr int kLastPort = 31000;

// The sockets stay open until the end, so that no port is found twice.
bool
IsFree(int aPort)
{
  auto handle = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(aPort));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return bind(handle, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0;
}

}

// Prints free ports of the loopback address, one a line. Usage: ports COUNT
int
main(int aCount, char** aArguments)
{
  auto left = aCount > 1 ? std::strtol(aArguments[1], nullptr, 10) : 1;
  std::random_device random;
  std::uniform_int_distribution<int> choose(kFirstPort, kLastPort);
  while (left > 0) {
    auto port = choose(random);
    if (IsFree(port)) {
      std::cout << port << "\n";
      --left;
    }
  }
  return 0;
}
