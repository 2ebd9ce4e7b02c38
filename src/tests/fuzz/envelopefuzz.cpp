// libFuzzer target: passes any bytes as a message to the agent core and the balancer core.
#include "agent/agentcore.h"
#include "balancer/balancercore.h"

using namespace rhubarblane;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    wire::Envelope message;
    if (!message.ParseFromArray(data, static_cast<int>(size))) {
        return 0;
    }
    const PeerAddress peer {1, 1};
    AgentSettings agentSettings;
    agentSettings.name = "a";
    agentSettings.incarnation = Incarnation(1);
    AgentCore agent(agentSettings);
    // Binds the agent to service 1, so that its messages pass the first check.
    wire::Envelope bind;
    bind.mutable_announce_ack()->set_target(targetIdOf("a").value());
    bind.mutable_announce_ack()->set_incarnation(1);
    bind.mutable_announce_ack()->mutable_service()->set_service(1);
    agent.handleMessage(Timestamp(1), peer, bind);
    agent.handleMessage(Timestamp(2), peer, message);
    agent.tick(Timestamp(100));
    BalancerCore balancer {BalancerSettings {}};
    balancer.handleMessage(Timestamp(2), peer, message);
    balancer.tick(Timestamp(100));
    return 0;
}
