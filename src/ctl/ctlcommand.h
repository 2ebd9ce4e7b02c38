#ifndef RHUBARBLANE_CTL_CTLCOMMAND_H
#define RHUBARBLANE_CTL_CTLCOMMAND_H

#include "ctl/ctlclient.h"
#include "ctl/ctlsettings.h"

#include <functional>
#include <iosfwd>
#include <optional>
#include <string>
#include <vector>

namespace rhubarblane
{

/** Exit codes of rhubarblanectl. */
enum class CtlExit {
    Success = 0,
    Rejected = 1,
    Usage = 2,
    Unavailable = 3,
};

/** Executes one command of rhubarblanectl. */
class CtlCommand
{
public:
    CtlCommand(CtlSettings settings, std::string apiKey, std::ostream &out, std::ostream &err);

    CtlExit run();

private:
    struct Resource {
        std::string kind;
        std::string name;
        std::string version;
        std::string body;
    };

    CtlExit print(const std::string &path);
    CtlExit apply();
    CtlExit applyOne(const Resource &resource);
    CtlExit erase();
    CtlExit watch();
    CtlExit write(CtlRequest request);

    /** Sends a GET request. Prints the error and sets `exit` unless the response has status 200. */
    std::optional<web::json::value> read(const std::string &path, CtlExit &exit);
    Outcome<std::vector<Resource>> readFile() const;
    CtlExit fail(const Error &error);
    CtlExit report(const CtlResponse &answer);

    CtlSettings settings_;
    CtlClient client_;
    std::ostream &out_;
    std::ostream &err_;
};

/** Runs the program: reads the settings and the key file, and executes the command. */
CtlExit
runCtl(const std::vector<std::string> &arguments, const Environment &environment, std::ostream &out, std::ostream &err);

} // namespace rhubarblane

#endif
