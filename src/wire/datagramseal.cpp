#include "wire/datagramseal.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <array>
#include <cstring>
#include <utility>

namespace rhubarblane
{

namespace
{

constexpr std::size_t TagBytes = 16;
constexpr std::size_t WordBytes = 8;
constexpr std::size_t HeaderBytes = TagBytes + 3 * WordBytes;

void putWord(std::string &out, std::uint64_t word)
{
    for (int shift = 0; shift < 64; shift += 8) {
        out.push_back(static_cast<char>((word >> shift) & 0xff));
    }
}

std::uint64_t getWord(std::string_view in, std::size_t offset)
{
    std::uint64_t word = 0;
    for (std::size_t i = 0; i < WordBytes; ++i) {
        word |= static_cast<std::uint64_t>(static_cast<unsigned char>(in[offset + i])) << (8 * i);
    }
    return word;
}

} // namespace

DatagramSeal::DatagramSeal(std::string key, std::uint64_t sender, Incarnation incarnation)
    : key_(std::move(key))
    , sender_(sender)
    , incarnation_(incarnation)
{
}

void DatagramSeal::computeTag(std::string_view body, unsigned char *tag) const
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest {};
    unsigned int length = 0;
    HMAC(EVP_sha256(),
         key_.data(),
         static_cast<int>(key_.size()),
         reinterpret_cast<const unsigned char *>(body.data()),
         body.size(),
         digest.data(),
         &length);
    std::memcpy(tag, digest.data(), TagBytes);
}

std::string DatagramSeal::seal(std::string_view payload)
{
    std::string datagram(TagBytes, '\0');
    datagram.reserve(HeaderBytes + payload.size());
    putWord(datagram, sender_);
    putWord(datagram, incarnation_.value());
    putWord(datagram, ++sequence_);
    datagram.append(payload);
    computeTag(std::string_view(datagram).substr(TagBytes), reinterpret_cast<unsigned char *>(datagram.data()));
    return datagram;
}

std::variant<std::string_view, SealError> DatagramSeal::open(std::string_view datagram)
{
    if (datagram.size() < HeaderBytes) {
        return SealError::TooShort;
    }
    std::array<unsigned char, TagBytes> expected {};
    computeTag(datagram.substr(TagBytes), expected.data());
    if (CRYPTO_memcmp(expected.data(), datagram.data(), TagBytes) != 0) {
        return SealError::BadTag;
    }
    const std::uint64_t sender = getWord(datagram, TagBytes);
    const std::uint64_t incarnation = getWord(datagram, TagBytes + WordBytes);
    const std::uint64_t sequence = getWord(datagram, TagBytes + 2 * WordBytes);
    Window &window = windows_[sender];
    if (incarnation < window.incarnation) {
        return SealError::StaleIncarnation;
    }
    if (incarnation > window.incarnation) {
        window = Window {};
        window.incarnation = incarnation;
    }
    if (!accept(window, sequence)) {
        return SealError::Replayed;
    }
    return datagram.substr(HeaderBytes);
}

bool DatagramSeal::accept(Window &window, std::uint64_t sequence)
{
    if (sequence > window.highest) {
        const std::uint64_t advance = sequence - window.highest;
        if (advance >= WindowBits) {
            window.seen.reset();
        } else {
            for (std::uint64_t i = 1; i <= advance; ++i) {
                window.seen.reset((window.highest + i) % WindowBits);
            }
        }
        window.highest = sequence;
        window.seen.set(sequence % WindowBits);
        return true;
    }
    if (window.highest - sequence >= WindowBits || window.seen.test(sequence % WindowBits)) {
        return false;
    }
    window.seen.set(sequence % WindowBits);
    return true;
}

} // namespace rhubarblane
