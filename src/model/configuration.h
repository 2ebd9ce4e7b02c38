#ifndef RHUBARBLANE_MODEL_CONFIGURATION_H
#define RHUBARBLANE_MODEL_CONFIGURATION_H

#include "base/clock.h"
#include "base/ids.h"
#include "wire/flowtuple.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace rhubarblane
{

enum class FlowKind {
    Request, ///< The flow ends with the response.
    Stream, ///< The flow stays open after a response.
};

/** The operators' declaration of a service. */
struct ServiceSpec {
    std::string name;
    std::uint32_t address = 0;
    std::uint16_t port = 0;
    Protocol protocol = Protocol::Udp;
    std::string client;
    FlowKind kind = FlowKind::Request;
    bool atMostOnce = false;
    /** From 0 to 9. A lower value gives smaller limits for queued and undecided flows, so it is refused first. */
    std::uint32_t priority = 5;
    Milliseconds idleTimeout = Milliseconds(60000);
    Milliseconds silenceTimeout = Milliseconds(30000);
    std::uint32_t maxFlowsPerClient = 0; ///< 0 means no limit.
};

/** Binds the targets that match all given conditions to a service. */
struct RuleSpec {
    std::string name;
    std::string service;
    std::map<std::string, std::string> labels;
    std::string client; ///< Empty matches every client.
    std::string availabilityZone; ///< Empty matches every availability zone.
};

/** Takes a target out of service. */
struct DrainSpec {
    std::string target;
    Milliseconds deadline = Milliseconds(600000);
};

class ConfigurationIndex;

/** One revision of all services, rules and drains declared by operators. */
struct Configuration {
    Revision revision;
    /** Equal revisions with equal digests have equal content. */
    std::uint64_t digest = 0;
    std::map<std::string, ServiceSpec> services;
    std::map<std::string, RuleSpec> rules;
    std::map<std::string, DrainSpec> drains;

    /** Builds the index of find() and serviceOf(). Must be called again after a change of services or rules. */
    void buildIndex();

    const ServiceSpec *find(ServiceId service) const;

    /** Returns the service to which a rule binds the target; ServiceId() if no rule does. */
    ServiceId serviceOf(const wire::TargetEntry &target) const;

    /** Null until buildIndex(); shared by copies of the configuration. */
    std::shared_ptr<const ConfigurationIndex> index;
};

wire::ServiceSettings toWire(const ServiceSpec &service);

} // namespace rhubarblane

#endif
