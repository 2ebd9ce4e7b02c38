#ifndef RHUBARBLANE_MEMBERSHIP_ENTRYSYNC_H
#define RHUBARBLANE_MEMBERSHIP_ENTRYSYNC_H

#include "base/ids.h"
#include "membership/entrytable.h"
#include "wire/peeraddress.h"

#include <cstdint>
#include <deque>
#include <random>
#include <vector>

namespace rhubarblane
{

/** An anti-entropy message to a peer. */
struct SyncMessage {
    PeerAddress to;
    wire::Gossip message;
};

/** A member with a tombstone in the local table whose live entry a peer still has. */
struct MemberConflict {
    BalancerId member;
    PeerAddress peer;
};

/**
 * Anti-entropy between two balancers, which repairs entries that rumors did not deliver. The initiator sends the
 * digests of the 64 groups. The responder returns the leaf digests of groups that differ. The initiator sends the
 * versions in leaves that differ, and the responder returns newer entries and requests those that it lacks. The
 * responder keeps no state between the steps, so a lost datagram only delays the repair until a later exchange.
 */
class EntrySync
{
public:
    /** Maximum bytes of entries in a message. The rest of the 1,200 bytes is for header, seal and envelope. */
    static constexpr std::size_t EntryBytes = 1000;

    EntrySync(const EntryTable &members, const EntryTable &targets);

    /** Returns the message that starts an exchange with a peer about the selected tables. */
    SyncMessage start(const PeerAddress &peer, bool members, bool targets) const;

    /** Handles the anti-entropy parts of a message and returns the replies. */
    std::vector<SyncMessage> handle(const PeerAddress &from, const wire::Gossip &message, std::mt19937_64 &random);

    /** Returns the next request for leaves that differ; empty if there is none. */
    std::vector<SyncMessage> nextRequest();
    bool isRequesting() const
    {
        return !leaves_.empty();
    }

    /** Returns and clears the conflicts found since the last call. */
    std::vector<MemberConflict> takeConflicts();

    /** Packs full entries into as few messages as possible, at most `messageLimit`. Further entries are left out. */
    static std::vector<wire::Gossip>
    pack(const EntryTable &table, const std::vector<std::uint64_t> &ids, std::size_t messageLimit);

private:
    struct LeafRequest {
        PeerAddress peer;
        bool targets = false;
        std::uint32_t leaf = 0;
        std::uint32_t peerEntries = 0;
    };

    const EntryTable &table(bool targets) const
    {
        return targets ? targets_ : members_;
    }
    void compareGroups(const PeerAddress &from,
                       const wire::TableDigests &digests,
                       std::mt19937_64 &random,
                       std::vector<SyncMessage> &answers) const;
    void compareLeaves(const PeerAddress &from, const wire::TableDigests &digests);
    void answerVersions(const PeerAddress &from, const wire::LeafVersions &versions, std::vector<SyncMessage> &answers);

    const EntryTable &members_;
    const EntryTable &targets_;
    std::deque<LeafRequest> leaves_;
    std::vector<MemberConflict> conflicts_;
};

} // namespace rhubarblane

#endif
