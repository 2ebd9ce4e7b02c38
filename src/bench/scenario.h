#ifndef RHUBARBLANE_BENCH_SCENARIO_H
#define RHUBARBLANE_BENCH_SCENARIO_H

#include "agent/agentsettings.h"
#include "wire/flowtuple.h"

#include <cstdint>
#include <string>
#include <vector>

namespace rhubarblane
{

/** The faults and load changes of a run. Simulation::scheduleEvents() sets their times, as fractions of the run. */
struct Scenario {
    std::string name;
    /** Probabilities that a datagram is lost, and that a packet of a caller is duplicated. */
    double loss = 0.0;
    double duplication = 0.0;
    /** Mean of the exponentially distributed extra delay of a datagram, which also reorders datagrams. */
    double jitterUs = 100.0;
    bool rollingBalancers = false;
    bool balancerCrash = false;
    bool drain = false;
    bool targetCrash = false;
    bool reweight = false;
    bool splitViews = false;
    bool storeOutage = false;
    bool overload = false;
    bool flood = false;
    bool silentFlows = false;
};

struct DeploymentService {
    std::string name;
    int targets = 0;
    Protocol protocol = Protocol::Udp;
};

struct Deployment {
    std::string name;
    std::uint32_t slots = 0;
    std::int64_t zoneDelayUs = 0;
    std::int64_t callerDelayUs = 0;
    std::vector<DeploymentService> services;
};

struct BenchOptions {
    const Scenario *scenario = nullptr;
    const Deployment *deployment = nullptr;
    std::string policy;
    std::uint64_t seed = 1;
    int balancers = 3;
    double load = 0.8;
    std::int64_t durationMs = 60000;
    int streamsPerTarget = 100;
    /** Placement settings, for comparing alternatives to the defaults. */
    PlacementSettings placement;
};

const std::vector<Scenario> &allScenarios();
const std::vector<Deployment> &allDeployments();
const std::vector<std::string> &allPolicies();

} // namespace rhubarblane

#endif
