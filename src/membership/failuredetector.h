#ifndef RHUBARBLANE_MEMBERSHIP_FAILUREDETECTOR_H
#define RHUBARBLANE_MEMBERSHIP_FAILUREDETECTOR_H

#include "base/clock.h"
#include "membership/membertable.h"

#include <cstdint>
#include <map>
#include <set>
#include <variant>
#include <vector>

namespace rhubarblane
{

/** Send a probe to a member. */
struct ProbeMember {
    BalancerId subject;
    std::uint64_t probe = 0;
};

/** Ask a helper to probe a member. */
struct RequestIndirectProbe {
    BalancerId helper;
    BalancerId subject;
    std::uint64_t probe = 0;
};

/** Tell the member that asked for it how its indirect probe went. */
struct AnswerProbeRequest {
    PeerAddress to;
    BalancerId subject;
    std::uint64_t probe = 0;
    bool unreachable = false;
};

/** The member did not answer anybody for the whole suspicion time. */
struct DeclareGone {
    BalancerId subject;
};

using DetectorAction = std::variant<ProbeMember, RequestIndirectProbe, AnswerProbeRequest, DeclareGone>;

/**
 * Probes the next members on the region's ring of ids, so that each member has the same few watchers and its death is
 * noticed within a bounded time at any size. A failed probe is repeated through helpers; a suspicion ends with any
 * sign of life, or with a declaration that at least two helpers support.
 */
class FailureDetector
{
public:
    static constexpr std::size_t WatchedMembers = 3;
    static constexpr std::size_t HelpersPerProbe = 3;
    static constexpr Milliseconds ProbeInterval = Milliseconds(1000);
    /** Longer than a round trip between availability zones plus two ticks. */
    static constexpr Milliseconds ProbeTimeout = Milliseconds(400);
    /** A member that pauses for 2 s is suspected for at most 1.6 s before it answers again. */
    static constexpr Milliseconds SuspicionTime = Milliseconds(2200);
    /** Without a witness, as in a deployment of two, a death is declared after this many suspicion times. */
    static constexpr std::int64_t NoWitnessFactor = 2;

    /** The process is about to act at `now`; after a gap in its clock its timers prove nothing. */
    void resetTimers(Timestamp now);

    std::vector<DetectorAction>
    tick(Timestamp now, BalancerId self, const MemberTable &members, std::mt19937_64 &random);

    /** A message came directly from the member, or a helper reached it. */
    void confirmAlive(Timestamp now, BalancerId member);
    /** A helper could not reach the member. */
    void recordUnreachable(BalancerId member, BalancerId helper);

    /** Another member asks to probe `subject`. Returns the number for the probe, or 0 if too many are under way. */
    std::uint64_t
    startIndirectProbe(Timestamp now, const PeerAddress &requester, std::uint64_t requesterProbe, BalancerId subject);
    /** The subject answered; returns the answers for the members that asked. */
    std::vector<AnswerProbeRequest> finishIndirectProbes(BalancerId subject);

    bool isSuspect(BalancerId member) const;
    std::size_t suspectCount() const;

private:
    enum class Phase {
        Idle,
        Direct,
        Indirect,
    };

    struct Watch {
        Phase phase = Phase::Idle;
        Timestamp due;
        bool suspect = false;
        Timestamp suspectSince;
        std::set<BalancerId> witnesses;
        std::uint64_t probe = 0;
    };

    struct IndirectProbe {
        PeerAddress requester;
        std::uint64_t probe = 0;
        BalancerId subject;
        Timestamp deadline;
    };

    void updateWatches(Timestamp now, BalancerId self, const MemberTable &members, std::mt19937_64 &random);
    void advanceProbe(Timestamp now,
                      BalancerId subject,
                      Watch &watch,
                      const MemberTable &members,
                      std::mt19937_64 &random,
                      std::vector<DetectorAction> &actions);
    bool canDeclareGone(Timestamp now, const Watch &watch, std::size_t peers) const;

    std::map<BalancerId, Watch> watches_;
    std::vector<IndirectProbe> indirectProbes_;
    std::uint64_t nextProbe_ = 1;
};

} // namespace rhubarblane

#endif
