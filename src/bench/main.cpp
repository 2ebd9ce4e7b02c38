#include "bench/simulation.h"

#include <popt.h>

#include <algorithm>
#include <cstdio>
#include <iostream>
#include <memory>

using namespace rhubarblane;

namespace
{

constexpr int UsageError = 2;

template<typename Entries>
auto findNamed(const Entries &entries, const std::string &name)
{
    return std::find_if(entries.begin(), entries.end(), [&name](const auto &entry) { return entry.name == name; });
}

int fail(const std::string &message)
{
    std::cerr << "rhubarblane_bench: " << message << " (see --help and --list)\n";
    return UsageError;
}

void list()
{
    for (const Scenario &scenario : allScenarios()) {
        std::cout << "scenario " << scenario.name << '\n';
    }
    for (const std::string &policy : allPolicies()) {
        std::cout << "policy " << policy << '\n';
    }
    for (const Deployment &deployment : allDeployments()) {
        std::cout << "deployment " << deployment.name << '\n';
    }
}

} // namespace

int main(int argc, char **argv)
{
    BenchOptions options;
    char *scenarioText = nullptr;
    char *policyText = nullptr;
    char *deploymentText = nullptr;
    long long seed = 1;
    long long durationMs = options.durationMs;
    int listing = 0;
    int shareHalfLifeMs = static_cast<int>(options.placement.shareHalfLife.count());
    int candidates = static_cast<int>(options.placement.candidates);
    int declaredWeights = 0;
    int halfLifeMs = static_cast<int>(options.placement.halfLife.count());
    int json = 0;
    const poptOption table[] = {
        {"list", 0, POPT_ARG_NONE, &listing, 0, "list scenarios, policies and deployments", nullptr},
        {"scenario", 0, POPT_ARG_STRING, &scenarioText, 0, "scenario to run (steady)", "NAME"},
        {"policy", 0, POPT_ARG_STRING, &policyText, 0, "balancing policy (default)", "NAME"},
        {"deployment", 0, POPT_ARG_STRING, &deploymentText, 0, "reference workload (sundarban)", "NAME"},
        {"seed", 0, POPT_ARG_LONGLONG, &seed, 0, "seed of all random numbers (1)", "N"},
        {"balancers", 0, POPT_ARG_INT, &options.balancers, 0, "number of balancers (3)", "N"},
        {"load", 0, POPT_ARG_DOUBLE, &options.load, 0, "offered load as a share of the capacity (0.8)", "SHARE"},
        {"duration-ms", 0, POPT_ARG_LONGLONG, &durationMs, 0, "simulated time (60000)", "MS"},
        {"streams", 0, POPT_ARG_INT, &options.streamsPerTarget, 0, "open streams per target (100)", "N"},
        {"candidates", 0, POPT_ARG_INT, &candidates, 0, "candidate targets per flow (3)", "N"},
        {"declared-weights", 0, POPT_ARG_NONE, &declaredWeights, 0, "use the declared capacities as weights", nullptr},
        {"half-life-ms", 0, POPT_ARG_INT, &halfLifeMs, 0, "half-life of the learned capacity (3000)", "MS"},
        {"correction", 0, POPT_ARG_DOUBLE, &options.placement.correction, 0, "corrective term of the weights", "GAIN"},
        {"hysteresis", 0, POPT_ARG_DOUBLE, &options.placement.hysteresis, 0, "smallest change of a weight", "SHARE"},
        {"share-half-life-ms", 0, POPT_ARG_INT, &shareHalfLifeMs, 0, "half-life of the share in use (1000)", "MS"},
        {"json", 0, POPT_ARG_NONE, &json, 0, "print one JSON object (the only format)", nullptr},
        POPT_AUTOHELP POPT_TABLEEND};
    const std::unique_ptr<poptContext_s, poptContext (*)(poptContext)> context(
        poptGetContext(nullptr, argc, const_cast<const char **>(argv), table, 0), poptFreeContext);
    const int outcome = poptGetNextOpt(context.get());
    if (outcome < -1) {
        return fail(std::string(poptBadOption(context.get(), 0)) + ": " + poptStrerror(outcome));
    }
    if (const char *extra = poptGetArg(context.get())) {
        return fail(std::string("unexpected argument ") + extra);
    }
    if (listing != 0) {
        list();
        return 0;
    }
    const std::string scenario = scenarioText != nullptr ? scenarioText : "steady";
    const std::string deployment = deploymentText != nullptr ? deploymentText : "sundarban";
    options.policy = policyText != nullptr ? policyText : "default";
    options.seed = static_cast<std::uint64_t>(seed);
    options.durationMs = durationMs;
    const auto foundScenario = findNamed(allScenarios(), scenario);
    const auto foundDeployment = findNamed(allDeployments(), deployment);
    if (foundScenario == allScenarios().end()) {
        return fail("--scenario: unknown name " + scenario);
    }
    if (foundDeployment == allDeployments().end()) {
        return fail("--deployment: unknown name " + deployment);
    }
    const auto &policies = allPolicies();
    if (std::find(policies.begin(), policies.end(), options.policy) == policies.end()) {
        return fail("--policy: unknown name " + options.policy);
    }
    if (options.balancers < 2 || options.balancers > 64) {
        return fail("--balancers: from 2 to 64");
    }
    if (!(options.load > 0.0 && options.load <= 4.0)) {
        return fail("--load: above 0 and up to 4");
    }
    if (options.durationMs < 20000 || options.durationMs > 3600000) {
        return fail("--duration-ms: from 20000 to 3600000");
    }
    if (options.streamsPerTarget < 0 || options.streamsPerTarget > 5000) {
        return fail("--streams: from 0 to 5000");
    }
    if (candidates < 1 || candidates > 100) {
        return fail("--candidates: from 1 to 100");
    }
    if (halfLifeMs < 1 || shareHalfLifeMs < 1) {
        return fail("--half-life-ms, --share-half-life-ms: above 0");
    }
    options.placement.shareHalfLife = Milliseconds(shareHalfLifeMs);
    options.placement.candidates = static_cast<std::size_t>(candidates);
    options.placement.learnsCapacity = declaredWeights == 0;
    options.placement.halfLife = Milliseconds(halfLifeMs);
    options.scenario = &*foundScenario;
    options.deployment = &*foundDeployment;
    std::cout << Simulation(options).run() << '\n';
    return 0;
}
