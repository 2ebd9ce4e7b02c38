#include "wire/datagramseal.h"

#include "base/invariant.h"

#include <openssl/core_names.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/params.h>

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
    std::array<char, WordBytes> bytes {};
    for (std::size_t i = 0; i < WordBytes; ++i) {
        bytes[i] = static_cast<char>((word >> (8 * i)) & 0xff);
    }
    out.append(bytes.data(), bytes.size());
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

void DatagramSeal::MacDeleter::operator()(EVP_MAC_CTX *context) const
{
    EVP_MAC_CTX_free(context);
}

DatagramSeal::DatagramSeal(const std::string &key, std::uint64_t sender, Incarnation incarnation)
    : sender_(sender)
    , incarnation_(incarnation)
{
    EVP_MAC *algorithm = EVP_MAC_fetch(nullptr, "HMAC", nullptr);
    mac_.reset(EVP_MAC_CTX_new(algorithm));
    EVP_MAC_free(algorithm);
    std::string digest = "SHA256";
    const std::array<OSSL_PARAM, 2> parameters {
        OSSL_PARAM_construct_utf8_string(OSSL_MAC_PARAM_DIGEST, digest.data(), 0), OSSL_PARAM_construct_end()};
    const int ready =
        EVP_MAC_init(mac_.get(), reinterpret_cast<const unsigned char *>(key.data()), key.size(), parameters.data());
    RHUBARBLANE_INVARIANT(ready == 1, "libcrypto has HMAC-SHA-256");
}

void DatagramSeal::computeTag(std::string_view body, unsigned char *tag) const
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest {};
    std::size_t length = 0;
    const bool done = EVP_MAC_init(mac_.get(), nullptr, 0, nullptr) == 1
        && EVP_MAC_update(mac_.get(), reinterpret_cast<const unsigned char *>(body.data()), body.size()) == 1
        && EVP_MAC_final(mac_.get(), digest.data(), &length, digest.size()) == 1;
    RHUBARBLANE_INVARIANT(done && length >= TagBytes, "HMAC-SHA-256 gives a tag");
    std::memcpy(tag, digest.data(), TagBytes);
}

std::string DatagramSeal::seal(std::string_view payload)
{
    std::string datagram;
    datagram.reserve(HeaderBytes + payload.size());
    datagram.resize(TagBytes);
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
