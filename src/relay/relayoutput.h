#ifndef RHUBARBLANE_RELAY_RELAYOUTPUT_H
#define RHUBARBLANE_RELAY_RELAYOUTPUT_H

#include "wire/generated/relay.pb.h"
#include "wire/peeraddress.h"

#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace rhubarblane
{

using DecisionFields = std::initializer_list<std::pair<std::string_view, std::string>>;

/** What the cores of the relay do to the outside. No call blocks or fails. */
class RelayOutput
{
public:
    virtual ~RelayOutput() = default;

    virtual void sendToPeer(const PeerAddress &peer, const wire::relay::Message &message) = 0;
    virtual void sendToTarget(std::string packet) = 0;
    virtual void sendToCaller(std::uint32_t callerAddress, std::string packet) = 0;

    /** One line for a decision; the implementation bounds their rate. */
    virtual void logDecision(std::string_view event, DecisionFields fields) = 0;
};

} // namespace rhubarblane

#endif
