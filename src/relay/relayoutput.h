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

/** The outbound interface of RelayAgent and RelayBalancer. No call blocks or fails. */
class RelayOutput
{
public:
    virtual ~RelayOutput() = default;

    virtual void sendToPeer(const PeerAddress &peer, const wire::relay::Message &message) = 0;
    virtual void sendToTarget(std::string packet) = 0;
    virtual void sendToCaller(std::uint32_t callerAddress, std::string packet) = 0;

    /** Writes one log line for a decision. Implementations limit the rate of these lines. */
    virtual void logDecision(std::string_view event, DecisionFields fields) = 0;
};

} // namespace rhubarblane

#endif
