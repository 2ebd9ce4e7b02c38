#ifndef RHUBARBLANE_RELAY_RELAYFLOW_H
#define RHUBARBLANE_RELAY_RELAYFLOW_H

#include "wire/flowtuple.h"
#include "wire/generated/relay.pb.h"

namespace rhubarblane
{

inline wire::relay::Flow toRelayFlow(const FlowTuple &tuple)
{
    wire::relay::Flow flow;
    flow.set_caller_address(tuple.callerAddress);
    flow.set_caller_port(tuple.callerPort);
    flow.set_service_address(tuple.serviceAddress);
    flow.set_service_port(tuple.servicePort);
    return flow;
}

inline FlowTuple fromRelayFlow(const wire::relay::Flow &flow)
{
    FlowTuple tuple;
    tuple.callerAddress = flow.caller_address();
    tuple.callerPort = static_cast<std::uint16_t>(flow.caller_port());
    tuple.serviceAddress = flow.service_address();
    tuple.servicePort = static_cast<std::uint16_t>(flow.service_port());
    tuple.protocol = Protocol::Tcp;
    return tuple;
}

} // namespace rhubarblane

#endif
