#include "membership/entrysync.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

namespace rhubarblane
{

namespace
{

/** Maximum number of groups whose leaf digests are returned in one exchange, in one datagram each. */
constexpr std::size_t GroupsPerAnswer = 3;
constexpr std::size_t EntriesPerRequest = 40;
constexpr std::size_t LeavesPerRequest = 32;
constexpr std::size_t MessagesPerAnswer = 5;
constexpr std::size_t PendingLeafLimit = 4096;
constexpr std::size_t ConflictLimit = 32;

} // namespace

EntrySync::EntrySync(const EntryTable &members, const EntryTable &targets)
    : members_(members)
    , targets_(targets)
{
}

SyncMessage EntrySync::start(const PeerAddress &peer, bool members, bool targets) const
{
    SyncMessage result;
    result.to = peer;
    result.message.set_kind(wire::Gossip::SPREAD);
    for (const bool which : {false, true}) {
        if (!(which ? targets : members)) {
            continue;
        }
        wire::TableDigests &digests = *result.message.add_digests();
        digests.set_targets(which);
        digests.set_entries(static_cast<std::uint32_t>(table(which).liveCount()));
        for (std::uint32_t group = 0; group < DigestIndex::Groups; ++group) {
            digests.add_digests(table(which).digests().group(group));
        }
    }
    return result;
}

void EntrySync::compareGroups(const PeerAddress &from,
                              const wire::TableDigests &digests,
                              std::mt19937_64 &random,
                              std::vector<SyncMessage> &answers) const
{
    const EntryTable &own = table(digests.targets());
    if (digests.digests_size() != static_cast<int>(DigestIndex::Groups)) {
        return;
    }
    const auto start = static_cast<std::uint32_t>(random() % DigestIndex::Groups);
    std::size_t sent = 0;
    for (std::uint32_t i = 0; i < DigestIndex::Groups && sent < GroupsPerAnswer; ++i) {
        const std::uint32_t group = (start + i) % DigestIndex::Groups;
        if (digests.digests(static_cast<int>(group)) == own.digests().group(group)) {
            continue;
        }
        ++sent;
        SyncMessage answer;
        answer.to = from;
        answer.message.set_kind(wire::Gossip::SPREAD);
        wire::TableDigests &leaves = *answer.message.add_digests();
        leaves.set_targets(digests.targets());
        leaves.set_leaves(true);
        leaves.set_group(group);
        leaves.set_entries(static_cast<std::uint32_t>(own.liveCount()));
        for (std::uint32_t leaf = 0; leaf < DigestIndex::LeavesPerGroup; ++leaf) {
            leaves.add_digests(own.digests().leaf(group * DigestIndex::LeavesPerGroup + leaf));
        }
        answers.push_back(std::move(answer));
    }
}

void EntrySync::compareLeaves(const PeerAddress &from, const wire::TableDigests &digests)
{
    const EntryTable &own = table(digests.targets());
    if (digests.digests_size() != static_cast<int>(DigestIndex::LeavesPerGroup)
        || digests.group() >= DigestIndex::Groups) {
        return;
    }
    for (std::uint32_t i = 0; i < DigestIndex::LeavesPerGroup && leaves_.size() < PendingLeafLimit; ++i) {
        const std::uint32_t leaf = digests.group() * DigestIndex::LeavesPerGroup + i;
        if (digests.digests(static_cast<int>(i)) != own.digests().leaf(leaf)) {
            leaves_.push_back(LeafRequest {from, digests.targets(), leaf, digests.entries()});
        }
    }
}

std::vector<SyncMessage> EntrySync::nextRequest()
{
    if (leaves_.empty()) {
        return {};
    }
    const LeafRequest first = leaves_.front();
    // Limits the request to as many leaves as hold about EntriesPerRequest entries of the peer.
    const std::size_t density =
        std::max<std::size_t>(1, first.peerEntries / (DigestIndex::Groups * DigestIndex::LeavesPerGroup));
    const std::size_t limit = std::clamp<std::size_t>(EntriesPerRequest / density, 1, LeavesPerRequest);
    SyncMessage request;
    request.to = first.peer;
    request.message.set_kind(wire::Gossip::SPREAD);
    wire::LeafVersions &versions = *request.message.add_versions();
    versions.set_targets(first.targets);
    for (std::size_t i = 0; i < limit && !leaves_.empty(); ++i) {
        const LeafRequest next = leaves_.front();
        if (next.peer != first.peer || next.targets != first.targets || versions.ByteSizeLong() > EntryBytes / 2) {
            break;
        }
        leaves_.pop_front();
        versions.add_leaves(next.leaf);
        for (const auto &[id, version] : table(next.targets).liveEntriesIn(next.leaf)) {
            *versions.add_versions() = toChange(id, version);
            if (versions.ByteSizeLong() > EntryBytes) {
                break;
            }
        }
    }
    return {std::move(request)};
}

void EntrySync::answerVersions(const PeerAddress &from,
                               const wire::LeafVersions &versions,
                               std::vector<SyncMessage> &answers)
{
    const EntryTable &own = table(versions.targets());
    std::map<std::uint64_t, EntryVersion> theirs;
    SyncMessage wanted;
    wanted.to = from;
    wanted.message.set_kind(wire::Gossip::SPREAD);
    for (const wire::EntryVersion &entry : versions.versions()) {
        const EntryVersion version = versionOf(entry);
        theirs[entry.id()] = version;
        const std::optional<EntryVersion> known = own.find(entry.id());
        if (!known || *known < version) {
            if (versions.targets()) {
                wanted.message.add_wanted_targets(entry.id());
            } else {
                wanted.message.add_wanted_balancers(entry.id());
            }
        } else if (version < *known && known->isGone()) {
            if (!versions.targets()) {
                // The member may be alive after a partition, so it is probed before the peer receives the tombstone.
                if (conflicts_.size() < ConflictLimit) {
                    conflicts_.push_back(MemberConflict {BalancerId(entry.id()), from});
                }
                continue;
            }
            *wanted.message.add_target_changes() = toChange(entry.id(), *known);
        }
    }
    std::vector<std::uint64_t> newer;
    for (const std::uint32_t leaf : versions.leaves()) {
        for (const auto &[id, version] :
             own.liveEntriesIn(leaf % (DigestIndex::Groups * DigestIndex::LeavesPerGroup))) {
            const auto their = theirs.find(id);
            if (their == theirs.end() || their->second < version) {
                newer.push_back(id);
            }
        }
    }
    for (wire::Gossip &message : pack(own, newer, MessagesPerAnswer)) {
        answers.push_back(SyncMessage {from, std::move(message)});
    }
    const bool isEmpty = wanted.message.wanted_targets_size() == 0 && wanted.message.wanted_balancers_size() == 0
        && wanted.message.target_changes_size() == 0;
    if (!isEmpty) {
        answers.push_back(std::move(wanted));
    }
}

std::vector<SyncMessage>
EntrySync::handle(const PeerAddress &from, const wire::Gossip &message, std::mt19937_64 &random)
{
    std::vector<SyncMessage> answers;
    for (const wire::TableDigests &digests : message.digests()) {
        if (digests.leaves()) {
            compareLeaves(from, digests);
        } else {
            compareGroups(from, digests, random, answers);
        }
    }
    for (const wire::LeafVersions &versions : message.versions()) {
        answerVersions(from, versions, answers);
    }
    const auto answerWanted = [&](const EntryTable &own, const auto &wanted) {
        const std::vector<std::uint64_t> ids(wanted.begin(), wanted.end());
        for (wire::Gossip &answer : pack(own, ids, MessagesPerAnswer)) {
            answers.push_back(SyncMessage {from, std::move(answer)});
        }
    };
    answerWanted(members_, message.wanted_balancers());
    answerWanted(targets_, message.wanted_targets());
    return answers;
}

std::vector<MemberConflict> EntrySync::takeConflicts()
{
    return std::exchange(conflicts_, {});
}

std::vector<wire::Gossip>
EntrySync::pack(const EntryTable &table, const std::vector<std::uint64_t> &ids, std::size_t messageLimit)
{
    std::vector<wire::Gossip> messages;
    wire::Gossip next;
    std::size_t bytes = 0;
    const auto close = [&] {
        if (bytes > 0) {
            next.set_kind(wire::Gossip::SPREAD);
            messages.push_back(std::exchange(next, wire::Gossip()));
            bytes = 0;
        }
    };
    for (const std::uint64_t id : ids) {
        wire::Gossip entry;
        if (!table.append(id, entry)) {
            continue;
        }
        const std::size_t size = entry.ByteSizeLong();
        if (bytes + size > EntryBytes) {
            close();
            if (messages.size() >= messageLimit) {
                return messages;
            }
        }
        next.MergeFrom(entry);
        bytes += size;
    }
    close();
    return messages;
}

} // namespace rhubarblane
