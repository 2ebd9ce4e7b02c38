#include "ctl/ctlcommand.h"

#include <cstdlib>
#include <iostream>

int main(int argc, char **argv)
{
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    const auto environment = [](const char *name) { return std::getenv(name); };
    return static_cast<int>(rhubarblane::runCtl(arguments, environment, std::cout, std::cerr));
}
