#ifndef RHUBARBLANE_WIRE_DATAGRAMSEAL_H
#define RHUBARBLANE_WIRE_DATAGRAMSEAL_H

#include "base/ids.h"

#include <openssl/evp.h>

#include <bitset>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>

namespace rhubarblane
{

enum class SealError {
    TooShort,
    BadTag, ///< The tag was not computed with this deployment's key.
    Replayed, ///< The sequence number was received before, or is older than the replay window.
    StaleIncarnation, ///< The sender has restarted since it sent the datagram.
};

/** Authenticates datagrams between the processes of a deployment with HMAC-SHA-256, and rejects replayed ones. */
class DatagramSeal
{
public:
    /** `sender` identifies this process in its datagrams. `key` must have at least 16 bytes. */
    DatagramSeal(const std::string &key, std::uint64_t sender, Incarnation incarnation);

    /** Returns a datagram with the payload, a header with sender, incarnation and sequence number, and a tag. */
    std::string seal(std::string_view payload);

    /** Returns the payload of an authentic datagram that was not received before; it refers to `datagram`. */
    std::variant<std::string_view, SealError> open(std::string_view datagram);

private:
    static constexpr std::size_t WindowBits = 2048;

    struct Window {
        std::uint64_t incarnation = 0;
        std::uint64_t highest = 0;
        std::bitset<WindowBits> seen;
    };

    struct MacDeleter {
        void operator()(EVP_MAC_CTX *context) const;
    };

    void computeTag(std::string_view body, unsigned char *tag) const;
    static bool accept(Window &window, std::uint64_t sequence);

    // Keyed once: setting up the key for each datagram costs more than hashing a small one.
    std::unique_ptr<EVP_MAC_CTX, MacDeleter> mac_;
    std::uint64_t sender_;
    Incarnation incarnation_;
    std::uint64_t sequence_ = 0;
    std::unordered_map<std::uint64_t, Window> windows_;
};

} // namespace rhubarblane

#endif
