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
    Request, ///< Ends with its answer.
    Stream, ///< Stays open.
};

/** What operators declare of a service. */
struct ServiceSpec {
    std::string name;
    std::uint32_t address = 0;
    std::uint16_t port = 0;
    Protocol protocol = Protocol::Udp;
    std::string client;
    FlowKind kind = FlowKind::Request;
    bool atMostOnce = false;
    /** 0 gives way first, 9 last. */
    std::uint32_t priority = 5;
    Milliseconds idleTimeout = Milliseconds(60000);
    Milliseconds silenceTimeout = Milliseconds(30000);
    std::uint32_t maxFlowsPerClient = 0; ///< 0 is no limit.
};

/** Binds the targets that match every given condition to a service. */
struct RuleSpec {
    std::string name;
    std::string service;
    std::map<std::string, std::string> labels;
    std::string client; ///< Empty matches any.
    std::string availabilityZone; ///< Empty matches any.
};

/** Takes a target out of service. */
struct DrainSpec {
    std::string target;
    Milliseconds deadline = Milliseconds(600000);
};

class ConfigurationIndex;

/** One revision of everything that operators declared. */
struct Configuration {
    Revision revision;
    /** Equal revisions with equal digests have equal content. */
    std::uint64_t digest = 0;
    std::map<std::string, ServiceSpec> services;
    std::map<std::string, RuleSpec> rules;
    std::map<std::string, DrainSpec> drains;

    /** Speeds up find() and serviceOf(). Must be called again after a change of services or rules. */
    void buildIndex();

    const ServiceSpec *find(ServiceId service) const;

    /** The service that a rule binds the target to; ServiceId() if none. */
    ServiceId serviceOf(const wire::TargetEntry &target) const;

    /** Absent until buildIndex(); copies of the configuration share it. */
    std::shared_ptr<const ConfigurationIndex> index;
};

wire::ServiceSettings toWire(const ServiceSpec &service);

} // namespace rhubarblane

#endif
