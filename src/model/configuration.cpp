#include "model/configuration.h"

#include "model/configurationindex.h"

namespace rhubarblane
{

void Configuration::buildIndex()
{
    index = std::make_shared<const ConfigurationIndex>(*this);
}

const ServiceSpec *Configuration::find(ServiceId service) const
{
    if (index) {
        const std::string *name = index->serviceName(service);
        const auto found = name == nullptr ? services.end() : services.find(*name);
        return found == services.end() ? nullptr : &found->second;
    }
    for (const auto &[name, spec] : services) {
        if (serviceIdOf(name) == service) {
            return &spec;
        }
    }
    return nullptr;
}

ServiceId Configuration::serviceOf(const wire::TargetEntry &target) const
{
    if (index) {
        return index->serviceOf(target);
    }
    for (const auto &[name, rule] : rules) {
        if (matches(rule, target) && services.count(rule.service) != 0) {
            return serviceIdOf(rule.service);
        }
    }
    return ServiceId();
}

wire::ServiceSettings toWire(const ServiceSpec &service)
{
    wire::ServiceSettings message;
    message.set_service(serviceIdOf(service.name).value());
    message.set_name(service.name);
    message.set_address(service.address);
    message.set_port(service.port);
    message.set_protocol(static_cast<std::uint32_t>(service.protocol));
    message.set_request_kind(service.kind == FlowKind::Request);
    message.set_at_most_once(service.atMostOnce);
    message.set_priority(service.priority);
    message.set_idle_timeout_ms(static_cast<std::uint64_t>(service.idleTimeout.count()));
    message.set_silence_timeout_ms(static_cast<std::uint64_t>(service.silenceTimeout.count()));
    message.set_max_flows_per_client(service.maxFlowsPerClient);
    return message;
}

} // namespace rhubarblane
