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

/** A message of the anti-entropy exchange. */
struct SyncMessage {
    PeerAddress to;
    wire::Gossip message;
};

/** A peer still has the live entry of a member whose tombstone is here. */
struct MemberConflict {
    BalancerId member;
    PeerAddress peer;
};

/**
 * Repairs what rumors missed. One side sends the digests of the 64 groups, the other answers with the leaf digests of
 * groups that differ, the first sends the versions in leaves that differ, and the other answers with newer entries and
 * asks for those it misses. Each step is stateless at the answering side, so a lost datagram costs only a later round.
 */
class EntrySync
{
public:
    /** Bytes of entries in one message; the header, the seal and the envelope need the rest of 1,200. */
    static constexpr std::size_t EntryBytes = 1000;

    EntrySync(const EntryTable &members, const EntryTable &targets);

    /** Starts an exchange with a peer about the tables that differ. */
    SyncMessage start(const PeerAddress &peer, bool members, bool targets) const;

    /** Answers the anti-entropy parts of a message. */
    std::vector<SyncMessage> handle(const PeerAddress &from, const wire::Gossip &message, std::mt19937_64 &random);

    /** The next request for leaves that differ; empty if there is none. */
    std::vector<SyncMessage> nextRequest();
    bool isRequesting() const
    {
        return !leaves_.empty();
    }

    std::vector<MemberConflict> takeConflicts();

    /** Packs whole entries into as few messages as possible. */
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
