#include "standins/callerstandin.h"
#include "standins/fabricstandin.h"
#include "standins/runreport.h"
#include "standins/storeprogram.h"
#include "standins/targetstandin.h"

#include <iostream>
#include <map>

namespace
{

using Program = int (*)(const std::vector<std::string> &arguments);

const std::map<std::string, Program> &programs()
{
    static const std::map<std::string, Program> known {{"fabric", rhubarblane::runFabricStandin},
                                                       {"target", rhubarblane::runTargetStandin},
                                                       {"callers", rhubarblane::runCallerStandin},
                                                       {"report", rhubarblane::runReport},
                                                       {"store", rhubarblane::runStoreStandin}};
    return known;
}

} // namespace

int main(int argc, char **argv)
{
    const auto program = argc > 1 ? programs().find(argv[1]) : programs().end();
    if (program == programs().end()) {
        std::cerr << "usage: rhubarblane_standin fabric|target|callers|store|report [FLAG...]\n";
        return 2;
    }
    return program->second({argv + 2, argv + argc});
}
