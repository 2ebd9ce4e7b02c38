#ifndef RHUBARBLANE_TESTS_CONTROLSESSION_H
#define RHUBARBLANE_TESTS_CONTROLSESSION_H

#include "control/resourceapi.h"
#include "tests/fakeconfigstore.h"

#include <cstdlib>
#include <fstream>
#include <map>
#include <memory>
#include <sstream>
#include <string>

namespace rhubarblane
{

/** The operators' API of one balancer, without threads and sockets. */
struct ControlBalancer {
    ControlBalancer(const std::string &name, ConfigStore &store, std::map<std::string, Revision> &revisions)
        : core([this](const Configuration &configuration) { known = configuration.revision; })
        , writer(&store, core, [](Milliseconds) {})
    {
        settings.name = name;
        settings.apiKey = "key-1\n";
        hooks.dump = [] { return std::string("{}"); };
        hooks.metrics = [] { return std::string("rhubarblane_up 1\n"); };
        hooks.targets = [] { return std::string("[]"); };
        hooks.liveBalancers = [&revisions] {
            std::vector<BalancerRevision> result;
            for (const auto &[balancer, revision] : revisions) {
                result.push_back({balancer, revision, 0, {}});
            }
            return result;
        };
        api = std::make_unique<ResourceApi>(
            settings, hooks, core, writer, [this] { return settings.name + "-token-" + std::to_string(++tokens); });
    }

    ControlSettings settings;
    ControlHooks hooks;
    Revision known;
    ConfigurationCore core;
    ConfigurationWriter writer;
    std::unique_ptr<ResourceApi> api;
    int tokens = 0;
};

/** Two balancers with a common store, and a transcript of the requests sent to them. */
class ControlSession
{
public:
    FakeConfigStore store;
    std::map<std::string, Revision> revisions {{"b1", {}}, {"b2", {}}};
    ControlBalancer b1 {"b1", store, revisions};
    ControlBalancer b2 {"b2", store, revisions};

    using Headers = std::map<std::string, std::string>;

    void annotate(const std::string &text)
    {
        transcript_ << "## " << text << "\n\n";
    }

    ApiResponse send(ControlBalancer &balancer,
                     const std::string &method,
                     const std::string &path,
                     const std::string &body = {},
                     Headers headers = {})
    {
        transcript_ << balancer.settings.name << " " << method << " " << path << "\n";
        for (const auto &[name, value] : headers) {
            transcript_ << name << ": " << value << "\n";
        }
        if (!body.empty()) {
            transcript_ << (body.size() > 400 ? "(" + std::to_string(body.size()) + " bytes)" : body) << "\n";
        }
        headers.emplace("authorization", "Bearer key-1");
        const ApiResponse response = balancer.api->handle({method, path, headers, body});
        transcript_ << "-> " << response.status << "\n";
        for (const auto &[name, value] : response.headers) {
            transcript_ << name << ": " << value << "\n";
        }
        transcript_ << response.body << "\n\n";
        return response;
    }

    /** Reports the balancer's known revision as in force, as its event loop does. */
    void markInForce(const ControlBalancer &balancer)
    {
        revisions[balancer.settings.name] = balancer.known;
        annotate(balancer.settings.name + " has revision " + std::to_string(balancer.known.value()) + " in force");
    }

    /** Transfers the configuration from one balancer to the other as a fetch by gRPC does. */
    static void fetch(const ControlBalancer &from, ControlBalancer &to)
    {
        const Revision base = to.core.current()->snapshot.revision;
        wire::ConfigurationRequest request;
        request.set_known_revision(base.value());
        to.core.applyReply(base, from.core.replyTo(request));
    }

    std::string transcript() const
    {
        return transcript_.str();
    }

private:
    std::ostringstream transcript_;
};

/**
 * Returns the content of a golden file for comparison with `text`. If RHUBARBLANE_UPDATE_GOLDEN is set in the
 * environment, `text` is written to the file first; review the difference before committing it.
 */
inline std::string goldenFile(const std::string &name, const std::string &text)
{
    const std::string path = std::string(RHUBARBLANE_GOLDEN_DIR) + "/" + name;
    if (std::getenv("RHUBARBLANE_UPDATE_GOLDEN") != nullptr) {
        std::ofstream(path) << text;
    }
    std::ifstream file(path);
    std::ostringstream content;
    content << file.rdbuf();
    return content.str();
}

} // namespace rhubarblane

#endif
