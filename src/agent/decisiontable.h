#ifndef RHUBARBLANE_AGENT_DECISIONTABLE_H
#define RHUBARBLANE_AGENT_DECISIONTABLE_H

#include "agent/flowtable.h"

#include <boost/intrusive/list.hpp>

#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

namespace rhubarblane
{

/** State that a home keeps for a flow, whichever member owns it. */
struct Decision : boost::intrusive::list_base_hook<> {
    enum class State {
        Waiting, ///< Other members are queried for records of the flow.
        Placing, ///< The flow has been offered to a candidate.
        Cancelling, ///< The result timed out; the candidates are queried and the attempt is cancelled.
        Placed, ///< The owner has accepted the flow.
        Refused, ///< The flow did not run and must not run later.
        Lost, ///< The flow may have run; its owner is dead or unknown.
    };
    FlowTuple flow;
    State state = State::Waiting;
    /** Whether the first packet can open a flow. */
    bool opening = false;
    /** Whether the caller has been notified that the request may have run. */
    bool callerNotified = false;
    /** Whether a candidate died that may have accepted the flow. */
    bool mayHaveRun = false;
    /** Fingerprint of the opening packet. */
    std::uint64_t fingerprint = 0;
    MemberKey owner;
    /** Number of the flow at its owner. */
    std::uint64_t number = 0;
    std::uint64_t attempt = 0;
    unsigned attempts = 0;
    Timestamp started;
    Timestamp changed;
    Timestamp retryAt;
    Milliseconds backoff;
    /** Packets that await the decision, the opening packet first. */
    std::vector<wire::Forward> queued;
    /** Members that answered that they have no record of the flow, by the roster with the digest `answeredDigest`. */
    std::vector<TargetId> answered;
    std::uint64_t answeredDigest = 0;
    /** Candidates of the current attempt that may still accept the flow. */
    std::vector<MemberKey> candidates;
    /** The home that has acknowledged this final outcome. */
    std::optional<MemberKey> registeredHome;

    bool isUndecided() const
    {
        return state == State::Waiting || state == State::Placing || state == State::Cancelling;
    }
    bool isFinal() const
    {
        return state == State::Refused || state == State::Lost;
    }
};

/** The decisions of a home, in separate lists for undecided, placed and final ones. */
class DecisionTable
{
public:
    using List = boost::intrusive::list<Decision>;

    Decision *find(const FlowTuple &flow);

    /** Adds a decision in state Waiting. The flow must not be in the table. */
    Decision &insert(Timestamp now, const FlowTuple &flow);

    void erase(Decision &decision);

    void setState(Timestamp now, Decision &decision, Decision::State state);

    /** Queues a packet of an undecided flow. Returns false if the limit per flow or the total limit is reached. */
    bool enqueue(Decision &decision, wire::Forward &&message);

    /** Removes and returns the queued packets. */
    std::vector<wire::Forward> takeQueued(Decision &decision);

    List &undecided()
    {
        return undecided_;
    }
    List &placed()
    {
        return placed_;
    }
    /** Refused and lost flows, in the order of their conclusion. */
    List &finals()
    {
        return finals_;
    }
    std::size_t size() const
    {
        return decisions_.size();
    }

private:
    List &listOf(Decision::State state);

    std::unordered_map<FlowTuple, std::unique_ptr<Decision>> decisions_;
    List undecided_;
    List placed_;
    List finals_;
    std::size_t queuedPackets_ = 0;
};

} // namespace rhubarblane

#endif
