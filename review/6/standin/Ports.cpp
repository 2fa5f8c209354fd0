#include <arpa/inet.h>
#include <cstdlib>
#include <iostream>
#include <netinet/in.h>
#include <sys/socket.h>

// Prints free ports of the loopback address, one a line. Usage: ports COUNT
int
main(int aCount, char** aArguments)
{
  auto count = aCount > 1 ? std::strtol(aArguments[1], nullptr, 10) : 1;
  for (long i = 0; i < count; ++i) {
    // Each socket stays open until the end, so that no port is printed twice.
    auto handle = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof address;
    auto* generic = reinterpret_cast<sockaddr*>(&address);
    if (bind(handle, generic, size) != 0 || getsockname(handle, generic, &size) != 0) {
      return 2;
    }
    std::cout << ntohs(address.sin_port) << "\n";
  }
  return 0;
}
