#include "membership/measure/measurement.h"

#include <cstdio>
#include <popt.h>
#include <string>

int main(int argc, const char **argv)
{
    int balancers = 10;
    int regions = 1;
    int seed = 1;
    int bytesPerSecond = 4000;
    int seconds = 600;
    const poptOption options[] = {
        {"balancers", 'n', POPT_ARG_INT, &balancers, 0, "number of balancers", "N"},
        {"regions", 'r', POPT_ARG_INT, &regions, 0, "number of regions", "N"},
        {"seed", 's', POPT_ARG_INT, &seed, 0, "seed of all random choices", "N"},
        {"bytes-per-second", 'b', POPT_ARG_INT, &bytesPerSecond, 0, "gossip budget of a balancer", "BYTES"},
        {"seconds", 't', POPT_ARG_INT, &seconds, 0, "virtual seconds at the design size", "S"},
        POPT_AUTOHELP POPT_TABLEEND};
    poptContext context = poptGetContext(nullptr, argc, argv, options, 0);
    poptSetOtherOptionHelp(context, "fleet|failures|falsedeaths|design");
    const int error = poptGetNextOpt(context);
    const char *argument = poptGetArg(context);
    const std::string run = argument != nullptr ? argument : "";
    poptFreeContext(context);
    if (error < -1 || balancers < 2 || regions < 1 || bytesPerSecond < 1 || seconds < 1) {
        std::fprintf(stderr, "invalid option; see --help\n");
        return 2;
    }
    const auto count = static_cast<std::size_t>(balancers);
    const auto randomSeed = static_cast<std::uint64_t>(seed);
    const auto budget = static_cast<std::uint64_t>(bytesPerSecond);
    rhubarblane::Measurement result;
    if (run == "fleet") {
        result = rhubarblane::measureFleet(count, static_cast<std::size_t>(regions), randomSeed, budget);
    } else if (run == "failures") {
        result = rhubarblane::measureFailures(count, randomSeed, budget);
    } else if (run == "falsedeaths") {
        result = rhubarblane::measureFalseDeaths(count, randomSeed, budget);
    } else if (run == "design") {
        result = rhubarblane::measureDesignSize(randomSeed, budget, seconds);
    } else {
        std::fprintf(stderr, "unknown run '%s'; allowed: fleet, failures, falsedeaths, design\n", run.c_str());
        return 2;
    }
    result.set("seed", seed);
    result.set("budgetBytesPerSecond", bytesPerSecond);
    std::printf("%s\n", result.toJson().c_str());
    return 0;
}
