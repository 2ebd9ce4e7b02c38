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

/** Requests a probe of a member. */
struct ProbeMember {
    BalancerId subject;
    std::uint64_t probe = 0;
};

/** Requests that a helper probe a member. */
struct RequestIndirectProbe {
    BalancerId helper;
    BalancerId subject;
    std::uint64_t probe = 0;
};

/** Reports the result of an indirect probe to the member that requested it. */
struct AnswerProbeRequest {
    PeerAddress to;
    BalancerId subject;
    std::uint64_t probe = 0;
    bool unreachable = false;
};

/** Reports that a member is gone: neither this process nor a helper reached it during the suspicion time. */
struct DeclareGone {
    BalancerId subject;
};

using DetectorAction = std::variant<ProbeMember, RequestIndirectProbe, AnswerProbeRequest, DeclareGone>;

/**
 * A failure detector in the manner of SWIM. It probes the successors on the ring of the region's ids, so each member
 * has the same small number of watchers and its failure is detected within a bounded time at any fleet size. A failed
 * probe is repeated through helpers. A suspicion ends when the member is reached, or when at least two helpers could
 * not reach it and it is declared gone.
 */
class FailureDetector
{
public:
    /** Number of unsuspected successors that a member probes. */
    static constexpr std::size_t WatchedMembers = 3;
    /** Number of helpers that are asked to repeat a failed probe. */
    static constexpr std::size_t HelpersPerProbe = 3;
    static constexpr Milliseconds ProbeInterval = Milliseconds(1000);
    /** Longer than a round trip between availability zones plus two ticks. */
    static constexpr Milliseconds ProbeTimeout = Milliseconds(400);
    /** A member that pauses for 2 s is under suspicion for at most 1.6 s, so this time must be longer. */
    static constexpr Milliseconds SuspicionTime = Milliseconds(2200);
    /** Without helpers, as in a deployment of two, a member is declared gone after this many suspicion times. */
    static constexpr std::int64_t NoWitnessFactor = 2;

    /** Restarts all probes and suspicions. Call it after a gap in the clock, when expired timers prove nothing. */
    void resetTimers(Timestamp now);

    std::vector<DetectorAction>
    tick(Timestamp now, BalancerId self, const MemberTable &members, std::mt19937_64 &random);

    /** Records that a message arrived from the member or that a helper reached it. */
    void confirmAlive(Timestamp now, BalancerId member);
    /** Records that a helper could not reach the member. */
    void recordUnreachable(BalancerId member, BalancerId helper);

    /** Starts a probe of `subject` for another member. Returns its number, or 0 if too many are in progress. */
    std::uint64_t
    startIndirectProbe(Timestamp now, const PeerAddress &requester, std::uint64_t requesterProbe, BalancerId subject);
    /** Ends the indirect probes of a subject that answered. Returns the answers to the members that requested them. */
    std::vector<AnswerProbeRequest> finishIndirectProbes(BalancerId subject);

    bool isSuspect(BalancerId member) const;
    /** Returns the number of members under suspicion. */
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
        /** Helpers that could not reach the member during the suspicion. */
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
    /** Returns true if the suspicion has lasted long enough and enough helpers could not reach the member either. */
    bool canDeclareGone(Timestamp now, const Watch &watch, std::size_t peers) const;

    std::map<BalancerId, Watch> watches_;
    std::vector<IndirectProbe> indirectProbes_;
    std::uint64_t nextProbe_ = 1;
};

} // namespace rhubarblane

#endif
