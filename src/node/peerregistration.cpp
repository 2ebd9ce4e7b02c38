#include "node/peerregistration.h"

#include <algorithm>
#include <iterator>
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

struct PeerEntry {
    Peer peer;
    bool settled = false; ///< The entry was settled in the era in which it was read.
    Revision revision;
};

std::vector<PeerEntry> decodeEntries(const StoredRange &range, const PeerRegistration::LogHandler &onLog)
{
    std::vector<PeerEntry> entries;
    for (const StoredValue &value : range.values) {
        wire::relay::Peer encoded;
        const bool parsed = encoded.ParseFromString(value.value) && peerEntryPrefix + encoded.name() == value.key;
        const std::optional<Peer> peer = parsed ? peerFromWire(encoded) : std::nullopt;
        if (!peer) {
            onLog("peerEntryUnreadable", value.key);
            continue;
        }
        const bool settled = encoded.settled() && StoreEra(encoded.settled_era()) == range.asOf.era;
        entries.push_back({*peer, settled, value.modified});
    }
    return entries;
}

std::vector<PeerEntry>::const_iterator findEntry(const std::vector<PeerEntry> &entries, const std::string &name)
{
    return std::find_if(
        entries.begin(), entries.end(), [&name](const PeerEntry &entry) { return entry.peer.name == name; });
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
    if (!error && isSettlingDue(now)) {
        error = settleEntry(now);
    }
    if (!error && now >= nextRead_) {
        error = readPeers(now);
    }
    failedBeforePeersRead_ = failedBeforePeersRead_ || (error && !peersRead_);
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
    if (std::optional<Error> error = readEarlierEntry()) {
        return error;
    }
    if (lease_.id == LeaseId()) {
        Outcome<GrantedLease> lease = store_.grantLease(LeaseDuration);
        if (!isOk(lease)) {
            return errorOf(lease);
        }
        lease_ = valueOf(lease);
    }
    // An entry that replaces a settled one without a gap is settled as well. Any other entry is written without a
    // precondition, because only this process writes the key and repeating the write is idempotent.
    const std::optional<StorePosition> earlier = std::exchange(earlierEntry_, std::nullopt);
    bool settled = earlier && earlier->era == lease_.era;
    Outcome<StorePosition> written =
        writeEntry(settled, settled ? std::optional<Revision>(earlier->revision) : std::nullopt);
    if (!isOk(written) && errorOf(written).code == ErrorCode::Conflict) {
        settled = false;
        written = writeEntry(settled, std::nullopt);
    }
    if (!isOk(written)) {
        if (errorOf(written).code == ErrorCode::NotFound) {
            lease_ = GrantedLease();
        }
        return errorOf(written);
    }
    if (valueOf(written).era != lease_.era) {
        // The lease was lost in between, and its id may be that of a lease of another process.
        lease_ = GrantedLease();
        return Error {ErrorCode::NotFound, {}, "the store was restored since it granted the lease"};
    }
    registered_ = true;
    entry_ = {now, valueOf(written), settled};
    nextRenewal_ = now + RenewalInterval;
    nextRead_ = now;
    bypassCache_ = true;
    onLog_("entryWritten", key_);
    return std::nullopt;
}

std::optional<Error> PeerRegistration::readEarlierEntry()
{
    if (earlierEntryRead_ || self_.role != PeerRole::Balancer) {
        return std::nullopt;
    }
    const Outcome<StoredRange> range = store_.range(key_);
    if (!isOk(range)) {
        return errorOf(range);
    }
    earlierEntryRead_ = true;
    // Names of other processes may begin with the own name.
    const std::vector<PeerEntry> entries = decodeEntries(valueOf(range), onLog_);
    const auto own = findEntry(entries, self_.name);
    if (own != entries.end() && own->settled) {
        earlierEntry_ = StorePosition {valueOf(range).asOf.era, own->revision};
    }
    return std::nullopt;
}

Outcome<StorePosition> PeerRegistration::writeEntry(bool settled, std::optional<Revision> replaced)
{
    wire::relay::Peer entry = toWire(self_);
    entry.set_settled(settled);
    entry.set_settled_era(settled ? lease_.era.value() : 0);
    StoreTransaction transaction {{}, {StoreWrite {key_, entry.SerializeAsString(), lease_.id}}};
    if (replaced) {
        transaction.compares.push_back({key_, *replaced});
    }
    return store_.commit(transaction);
}

bool PeerRegistration::isSettlingDue(Timestamp now) const
{
    return self_.role == PeerRole::Balancer && registered_ && !entry_.settled
        && now - entry_.written >= EntryRecoveryPeriod;
}

std::optional<Error> PeerRegistration::settleEntry(Timestamp now)
{
    // The precondition prevents a late execution of the call after the entry was lost and written again.
    const Outcome<StorePosition> written = writeEntry(true, entry_.position.revision);
    if (isOk(written) && valueOf(written).era == lease_.era) {
        entry_.position = valueOf(written);
        entry_.settled = true;
        onLog_("entrySettled", key_);
        return std::nullopt;
    }
    // In a restored store, the entry of the backup can have the same revision.
    const ErrorCode code = isOk(written) ? ErrorCode::NotFound : errorOf(written).code;
    if (code != ErrorCode::Conflict && code != ErrorCode::NotFound) {
        return errorOf(written);
    }
    // The entry was lost, or an earlier call took effect without an answer.
    if (code == ErrorCode::NotFound) {
        lease_ = GrantedLease();
    }
    registered_ = false;
    return registerSelf(now);
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
        lease_ = GrantedLease();
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
    const std::vector<PeerEntry> entries = decodeEntries(valueOf(range), onLog_);
    const auto own = findEntry(entries, self_.name);
    // The backup of a restored store may hold an entry of an earlier start.
    const bool listed =
        own != entries.end() && own->peer.incarnation == self_.incarnation && valueOf(range).asOf.era == lease_.era;
    const bool settled =
        std::any_of(entries.begin(), entries.end(), [](const PeerEntry &entry) { return entry.settled; });
    // After a failed call, other processes may not have been able to register yet either.
    const bool kept = bypassCache_ && listed && settled && !failedBeforePeersRead_;
    peersRead_ = true;
    std::vector<Peer> peers;
    std::transform(
        entries.begin(), entries.end(), std::back_inserter(peers), [](const PeerEntry &entry) { return entry.peer; });
    onPeers_(peers, kept ? LeaseHistory::Kept : LeaseHistory::Unknown);
    if (listed) {
        bypassCache_ = false;
        nextRead_ = now + ReadInterval;
    } else if (bypassCache_) {
        onLog_("entryLost", key_);
        lease_ = GrantedLease();
        registered_ = false;
    } else {
        // The cached response may be older than the entry.
        bypassCache_ = true;
    }
    return std::nullopt;
}

void PeerRegistration::withdraw()
{
    if (lease_.id == LeaseId()) {
        return;
    }
    std::optional<Error> error;
    if (registered_) {
        error = deleteEntry();
    } else {
        // A write without an answer may have taken effect, at an unknown revision.
        error = store_.revokeLease(lease_);
    }
    if (error) {
        onLog_("entryNotWithdrawn", error->message);
    }
    lease_ = GrantedLease();
    registered_ = false;
}

std::optional<Error> PeerRegistration::deleteEntry()
{
    // In a restored store the id of the lease may be that of another process's lease, but no other process's entry has
    // the own key.
    const Outcome<StorePosition> deleted =
        store_.commit({{{key_, entry_.position.revision}}, {{key_, std::nullopt, LeaseId()}}});
    if (isOk(deleted)) {
        return std::nullopt;
    }
    if (errorOf(deleted).code == ErrorCode::Conflict) {
        // A write without an answer took effect, or the store was restored, which this answer has shown.
        return store_.revokeLease(lease_);
    }
    return errorOf(deleted);
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
