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

/** What a home knows of a flow that another member may own. */
struct Decision : boost::intrusive::list_base_hook<> {
    enum class State {
        Waiting, ///< Other members are asked whether they know the flow.
        Placing, ///< A candidate has been asked to take it.
        Cancelling, ///< The result is missing; the candidates are asked whether they took it.
        Placed,
        Refused, ///< It did not run and never will.
        Lost, ///< It may have run; its owner is dead or not known.
    };
    FlowTuple flow;
    State state = State::Waiting;
    /** The first packet can open a flow. */
    bool opening = false;
    /** The caller has been notified that the request may have run. */
    bool callerNotified = false;
    /** A candidate died that may have taken the flow. */
    bool mayHaveRun = false;
    /** Of the opening packet. */
    std::uint64_t fingerprint = 0;
    MemberKey owner;
    /** The owner's number of the flow. */
    std::uint64_t number = 0;
    std::uint64_t attempt = 0;
    unsigned attempts = 0;
    Timestamp started;
    Timestamp changed;
    Timestamp retryAt;
    Milliseconds backoff;
    /** Packets that wait for the decision, the opening one first. */
    std::vector<wire::Forward> queued;
    /** Members that do not know the flow, by the roster with this digest. */
    std::vector<TargetId> answered;
    std::uint64_t answeredDigest = 0;
    /** Candidates of the current attempt that may still take the flow. */
    std::vector<MemberKey> candidates;
    /** The home that knows a final decision of this agent. */
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

/** The decisions of a home, listed by how far they are. */
class DecisionTable
{
public:
    using List = boost::intrusive::list<Decision>;

    Decision *find(const FlowTuple &flow);

    /** Adds a waiting decision. The flow must not be in the table. */
    Decision &insert(Timestamp now, const FlowTuple &flow);

    void erase(Decision &decision);

    void setState(Timestamp now, Decision &decision, Decision::State state);

    /** Adds a packet to the queue of an undecided flow. Returns false if the flow's or the common bound is reached. */
    bool enqueue(Decision &decision, wire::Forward &&message);

    /** Takes the waiting packets out of the queue. */
    std::vector<wire::Forward> takeQueued(Decision &decision);

    List &undecided()
    {
        return undecided_;
    }
    List &placed()
    {
        return placed_;
    }
    /** Refused and lost flows, the oldest first. */
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
