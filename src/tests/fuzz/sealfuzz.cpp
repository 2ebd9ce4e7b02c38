// libFuzzer target: opens any bytes as a sealed datagram. No input may be accepted as authentic.
#include "wire/datagramseal.h"

#include <cstdlib>

using namespace rhubarblane;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    static DatagramSeal receiver("0123456789abcdef", 1, Incarnation(1));
    static DatagramSeal sender("0123456789abcdef", 2, Incarnation(1));
    const std::string input(reinterpret_cast<const char *>(data), size);
    if (std::holds_alternative<std::string_view>(receiver.open(input))) {
        std::abort();
    }
    std::string datagram = sender.seal(input);
    const auto opened = receiver.open(datagram);
    if (!std::holds_alternative<std::string_view>(opened) || std::get<std::string_view>(opened) != input) {
        std::abort();
    }
    if (size > 0) {
        datagram[data[0] % datagram.size()] ^= 1;
        if (std::holds_alternative<std::string_view>(receiver.open(datagram))) {
            std::abort();
        }
    }
    return 0;
}
