#include "node/peerregistration.h"

#include <algorithm>
#include <utility>

namespace rhubarblane
{

const std::string peerEntryPrefix = "rhubarblane/peers/";

namespace
{

// Bounds the time for which the entry of a dead process misleads new processes. Live agents and balancers are also
// discovered by datagrams.
constexpr Milliseconds LeaseDuration(10000);
// An entry whose lease expired in an outage too short for any call to fail must be restored within 2 s; the remaining
// 0.5 s covers the store calls.
constexpr Milliseconds RenewalInterval(1500);
// The periodic read detects the loss of the process's own entry and peers that no message has mentioned.
constexpr Milliseconds ReadInterval(5000);
// Entries must be restored within 2 s after the store becomes available again.
constexpr Milliseconds RetryInterval(800);

std::vector<Peer> decodePeers(const StoredRange &range, const PeerRegistration::LogHandler &onLog)
{
    std::vector<Peer> peers;
    for (const StoredValue &value : range.values) {
        wire::relay::Peer encoded;
        const bool parsed = encoded.ParseFromString(value.value) && peerEntryPrefix + encoded.name() == value.key;
        const std::optional<Peer> peer = parsed ? peerFromWire(encoded) : std::nullopt;
        if (!peer) {
            onLog("peerEntryUnreadable", value.key);
            continue;
        }
        peers.push_back(*peer);
    }
    return peers;
}

} // namespace

PeerRegistration::PeerRegistration(ConfigStore &store, Peer self, PeersHandler onPeers, LogHandler onLog)
    : store_(store)
    , self_(std::move(self))
    , onPeers_(std::move(onPeers))
    , onLog_(std::move(onLog))
    , key_(peerEntryPrefix + self_.name)
{
}

Milliseconds PeerRegistration::step(Timestamp now)
{
    std::optional<Error> error;
    if (!registered_) {
        error = registerSelf(now);
    } else if (now >= nextRenewal_) {
        error = renewLease(now);
    }
    if (!error && now >= nextRead_) {
        error = readPeers(now);
    }
    updateStoreAvailability(error);
    if (error) {
        return RetryInterval;
    }
    if (!registered_) {
        return Milliseconds(0);
    }
    const Timestamp next = std::min(nextRenewal_, nextRead_);
    return std::max(Milliseconds(0), next - now);
}

std::optional<Error> PeerRegistration::registerSelf(Timestamp now)
{
    if (lease_ == LeaseId()) {
        Outcome<LeaseId> lease = store_.grantLease(LeaseDuration);
        if (!isOk(lease)) {
            return errorOf(lease);
        }
        lease_ = valueOf(lease);
    }
    // The write has no precondition, because only this process writes the key and repeating the write is idempotent.
    const Outcome<Revision> written =
        store_.commit({{}, {StoreWrite {key_, toWire(self_).SerializeAsString(), lease_}}});
    if (!isOk(written)) {
        if (errorOf(written).code == ErrorCode::NotFound) {
            lease_ = LeaseId();
        }
        return errorOf(written);
    }
    registered_ = true;
    nextRenewal_ = now + RenewalInterval;
    nextRead_ = now;
    bypassCache_ = true;
    onLog_("entryWritten", key_);
    return std::nullopt;
}

std::optional<Error> PeerRegistration::renewLease(Timestamp now)
{
    std::optional<Error> error = store_.keepLeaseAlive(lease_);
    if (!error) {
        nextRenewal_ = now + RenewalInterval;
        return std::nullopt;
    }
    if (error->code == ErrorCode::NotFound) {
        onLog_("leaseExpired", key_);
        lease_ = LeaseId();
        registered_ = false;
        return registerSelf(now);
    }
    return error;
}

std::optional<Error> PeerRegistration::readPeers(Timestamp now)
{
    const Outcome<StoredRange> range =
        bypassCache_ ? store_.range(peerEntryPrefix) : store_.cachedRange(peerEntryPrefix);
    if (!isOk(range)) {
        return errorOf(range);
    }
    const std::vector<Peer> peers = decodePeers(valueOf(range), onLog_);
    const bool listed =
        std::any_of(peers.begin(), peers.end(), [this](const Peer &peer) { return peer.name == self_.name; });
    onPeers_(peers);
    if (listed) {
        bypassCache_ = false;
        nextRead_ = now + ReadInterval;
    } else if (bypassCache_) {
        onLog_("entryLost", key_);
        lease_ = LeaseId();
        registered_ = false;
    } else {
        // The cached response may be older than the entry.
        bypassCache_ = true;
    }
    return std::nullopt;
}

void PeerRegistration::withdraw()
{
    if (lease_ == LeaseId()) {
        return;
    }
    if (const std::optional<Error> error = store_.revokeLease(lease_)) {
        onLog_("entryNotWithdrawn", error->message);
    }
    lease_ = LeaseId();
    registered_ = false;
}

void PeerRegistration::updateStoreAvailability(const std::optional<Error> &error)
{
    if (error && storeAvailable_) {
        onLog_("storeLost", error->message);
    } else if (!error && !storeAvailable_) {
        onLog_("storeRegained", key_);
        // Leases may have expired while the store was unavailable.
        bypassCache_ = true;
        nextRead_ = Timestamp();
    }
    storeAvailable_ = !error;
}

} // namespace rhubarblane
