#include "ctl/ctlcommand.h"

#include "model/configurationcheck.h"
#include "wire/jsontext.h"

#include <openssl/rand.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <fstream>
#include <iostream>
#include <sstream>
#include <thread>
#include <utility>

namespace rhubarblane
{

namespace
{

using web::json::value;

/** Time between two polls of `watch`. */
constexpr Milliseconds WatchInterval(200);

/** Returns the path of a collection; empty for an unknown kind. */
std::string collectionPath(const std::string &kind)
{
    for (const char *name : {"service", "rule", "drain", "target"}) {
        if (kind == name || kind == std::string(name) + "s") {
            return "/v1/" + std::string(name) + "s";
        }
    }
    return {};
}

Outcome<std::string> resourcePath(const std::string &kind, const std::string &name)
{
    const std::string collection = collectionPath(kind);
    if (collection.empty() || collection == "/v1/targets") {
        return Error {ErrorCode::InvalidArgument, "KIND", "is '" + kind + "'; allowed: service, rule, drain"};
    }
    if (const std::optional<Error> error = checkName(name)) {
        return Error {ErrorCode::InvalidArgument, "NAME", "'" + name + "' " + error->message};
    }
    return collection + "/" + name;
}

std::string makeToken()
{
    std::array<unsigned char, 8> bytes {};
    RAND_bytes(bytes.data(), static_cast<int>(bytes.size()));
    std::ostringstream token;
    token << "ctl-" << std::hex;
    for (const unsigned char byte : bytes) {
        token << static_cast<unsigned>(byte >> 4U) << static_cast<unsigned>(byte & 15U);
    }
    return token.str();
}

std::string versionOf(const value &resource)
{
    return resource.at("metadata").at("resourceVersion").as_string();
}

} // namespace

CtlCommand::CtlCommand(CtlSettings settings, std::string apiKey, std::ostream &out, std::ostream &err)
    : settings_(std::move(settings))
    , client_(settings_.servers, std::move(apiKey), settings_.timeout)
    , out_(out)
    , err_(err)
{
}

CtlExit CtlCommand::run()
{
    using Handler = CtlExit (CtlCommand::*)();
    static const std::map<std::string, Handler> handlers = {
        {"apply", &CtlCommand::apply},
        {"delete", &CtlCommand::erase},
        {"watch", &CtlCommand::watch},
    };
    const auto handler = handlers.find(settings_.command);
    if (handler != handlers.end()) {
        return (this->*handler->second)();
    }
    if (settings_.command == "list") {
        const std::string path = collectionPath(settings_.arguments.front());
        return path.empty() ? fail({ErrorCode::InvalidArgument, "KIND", "allowed: service, rule, drain, target"})
                            : print(path);
    }
    if (settings_.command == "get") {
        const Outcome<std::string> path = resourcePath(settings_.arguments[0], settings_.arguments[1]);
        return isOk(path) ? print(valueOf(path)) : fail(errorOf(path));
    }
    return print("/v1/" + settings_.command);
}

CtlExit CtlCommand::fail(const Error &error)
{
    err_ << "rhubarblanectl: " << error.field << (error.field.empty() ? "" : ": ") << error.message << "\n";
    switch (error.code) {
    case ErrorCode::InvalidArgument:
        return CtlExit::Usage;
    case ErrorCode::Unavailable:
    case ErrorCode::Unknown:
        return CtlExit::Unavailable;
    default:
        return CtlExit::Rejected;
    }
}

CtlExit CtlCommand::report(const CtlResponse &answer)
{
    if (answer.status == 200) {
        out_ << answer.body << "\n";
        return CtlExit::Success;
    }
    err_ << answer.body << "\n";
    return answer.status >= 500 ? CtlExit::Unavailable : CtlExit::Rejected;
}

CtlExit CtlCommand::print(const std::string &path)
{
    const Outcome<CtlResponse> answer = client_.send({"GET", path, {}, {}});
    return isOk(answer) ? report(valueOf(answer)) : fail(errorOf(answer));
}

std::optional<value> CtlCommand::read(const std::string &path, CtlExit &exit)
{
    const Outcome<CtlResponse> answer = client_.send({"GET", path, {}, {}});
    if (!isOk(answer)) {
        exit = fail(errorOf(answer));
        return std::nullopt;
    }
    Outcome<value> json = parseJson(valueOf(answer).body);
    if (valueOf(answer).status != 200 || !isOk(json)) {
        exit = report(valueOf(answer));
        return std::nullopt;
    }
    return takeValue(std::move(json));
}

CtlExit CtlCommand::write(CtlRequest request)
{
    const std::string token = settings_.token.empty() ? makeToken() : settings_.token;
    request.headers["Write-Token"] = token;
    const Outcome<CtlResponse> answer = client_.send(request);
    const bool unknown =
        isOk(answer) ? errorCodeOf(valueOf(answer)) == "outcomeUnknown" : errorOf(answer).code == ErrorCode::Unknown;
    const CtlExit exit = isOk(answer) ? report(valueOf(answer)) : fail(errorOf(answer));
    if (unknown) {
        err_ << "rhubarblanectl: it is unknown whether " << request.method << " " << request.path
             << " was done; the same command with --token=" << token << " is safe\n";
    }
    return exit;
}

Outcome<std::vector<CtlCommand::Resource>> CtlCommand::readFile() const
{
    std::ostringstream text;
    if (settings_.file == "-") {
        text << std::cin.rdbuf();
    } else {
        const std::ifstream file(settings_.file);
        if (!file) {
            return Error {ErrorCode::InvalidArgument, "--file", "cannot read '" + settings_.file + "'"};
        }
        text << file.rdbuf();
    }
    const Outcome<value> parsed = parseJson(text.str());
    if (!isOk(parsed)) {
        return Error {ErrorCode::InvalidArgument, "--file", "is not JSON: " + errorOf(parsed).message};
    }
    const value &json = valueOf(parsed);
    std::vector<value> documents {json};
    if (json.is_array()) {
        documents.assign(json.as_array().begin(), json.as_array().end());
    } else if (json.has_array_field("items")) {
        documents.assign(json.at("items").as_array().begin(), json.at("items").as_array().end());
    }
    std::vector<Resource> resources;
    for (const value &document : documents) {
        if (!document.is_object() || !document.has_string_field("kind") || !document.has_object_field("metadata")
            || !document.at("metadata").has_string_field("name")) {
            return Error {ErrorCode::InvalidArgument,
                          "--file",
                          "resource " + std::to_string(resources.size() + 1) + " needs kind and metadata.name"};
        }
        const value &metadata = document.at("metadata");
        resources.push_back(
            {document.at("kind").as_string(),
             metadata.at("name").as_string(),
             metadata.has_string_field("resourceVersion") ? metadata.at("resourceVersion").as_string() : "",
             document.serialize()});
    }
    if (!settings_.token.empty() && resources.size() != 1) {
        return Error {ErrorCode::InvalidArgument, "--token", "is allowed with a file of one resource only"};
    }
    return resources;
}

CtlExit CtlCommand::apply()
{
    const Outcome<std::vector<Resource>> resources = readFile();
    if (!isOk(resources)) {
        return fail(errorOf(resources));
    }
    for (const Resource &resource : valueOf(resources)) {
        const Outcome<std::string> path = resourcePath(resource.kind, resource.name);
        if (!isOk(path)) {
            return fail(errorOf(path));
        }
    }
    std::size_t done = 0;
    for (const Resource &resource : valueOf(resources)) {
        const CtlExit exit = applyOne(resource);
        if (exit != CtlExit::Success) {
            err_ << "rhubarblanectl: " << resource.kind << " " << resource.name << " failed; " << done << " of "
                 << valueOf(resources).size() << " resources were applied\n";
            return exit;
        }
        ++done;
    }
    return CtlExit::Success;
}

CtlExit CtlCommand::applyOne(const Resource &resource)
{
    CtlRequest request {"PUT", valueOf(resourcePath(resource.kind, resource.name)), {}, resource.body};
    if (resource.version.empty()) {
        const Outcome<CtlResponse> current = client_.send({"GET", request.path, {}, {}});
        if (!isOk(current)) {
            return fail(errorOf(current));
        }
        if (valueOf(current).status == 200) {
            const Outcome<value> stored = parseJson(valueOf(current).body);
            if (!isOk(stored)) {
                return fail(errorOf(stored));
            }
            request.headers["If-Match"] = '"' + versionOf(valueOf(stored)) + '"';
        } else if (valueOf(current).status == 404) {
            request.headers["If-None-Match"] = "*";
        } else {
            return report(valueOf(current));
        }
    }
    return write(std::move(request));
}

CtlExit CtlCommand::erase()
{
    const Outcome<std::string> path = resourcePath(settings_.arguments[0], settings_.arguments[1]);
    if (!isOk(path)) {
        return fail(errorOf(path));
    }
    std::string version = settings_.resourceVersion;
    if (version.empty()) {
        CtlExit exit = CtlExit::Success;
        const std::optional<value> current = read(valueOf(path), exit);
        if (!current) {
            return exit;
        }
        version = versionOf(*current);
    }
    return write({"DELETE", valueOf(path), {{"If-Match", '"' + version + '"'}}, {}});
}

CtlExit CtlCommand::watch()
{
    const Outcome<std::string> path = resourcePath(settings_.arguments[0], settings_.arguments[1]);
    if (!isOk(path)) {
        return fail(errorOf(path));
    }
    std::uint64_t wanted = settings_.generation;
    std::string lagging;
    while (client_.remaining() > Milliseconds(0)) {
        CtlExit exit = CtlExit::Success;
        const std::optional<value> resource = read(valueOf(path), exit);
        if (!resource) {
            return exit;
        }
        const value &status = resource->at("status");
        const std::uint64_t generation = resource->at("metadata").at("generation").as_number().to_uint64();
        wanted = wanted == 0 ? generation : wanted;
        if (status.at("observedGeneration").as_number().to_uint64() >= wanted && status.at("lagging").size() == 0) {
            out_ << resource->serialize() << "\n";
            return CtlExit::Success;
        }
        lagging = status.at("lagging").serialize();
        std::this_thread::sleep_for(std::chrono::milliseconds(std::min(WatchInterval, client_.remaining()).count()));
    }
    return fail({ErrorCode::Unavailable,
                 "--timeout-ms",
                 "generation " + std::to_string(wanted) + " is not in force in time; lagging: " + lagging});
}

CtlExit
runCtl(const std::vector<std::string> &arguments, const Environment &environment, std::ostream &out, std::ostream &err)
{
    const Outcome<CtlSettings> settings = parseCtlSettings(arguments, environment);
    if (!isOk(settings)) {
        err << "rhubarblanectl: " << errorOf(settings).field << ": " << errorOf(settings).message << "\n" << ctlUsage();
        return CtlExit::Usage;
    }
    std::string key;
    if (!valueOf(settings).apiKeyFile.empty()) {
        std::ifstream file(valueOf(settings).apiKeyFile);
        if (!(file >> key)) {
            err << "rhubarblanectl: --api-key-file: cannot read a key from '" << valueOf(settings).apiKeyFile << "'\n";
            return CtlExit::Usage;
        }
    }
    return CtlCommand(valueOf(settings), key, out, err).run();
}

} // namespace rhubarblane
