#ifndef RHUBARBLANE_CONTROL_RESOURCEAPI_H
#define RHUBARBLANE_CONTROL_RESOURCEAPI_H

#include "control/apimessage.h"
#include "control/configurationwriter.h"
#include "control/controlsettings.h"

#include <atomic>
#include <functional>
#include <string>

namespace rhubarblane
{

/** Handles the requests of the operators' API. Safe to use from several threads; writes block. */
class ResourceApi
{
public:
    /** In bytes. Requests with longer bodies are rejected. */
    static constexpr std::size_t MaximumBodySize = std::size_t {1024} * 1024;
    /** Further writes are rejected while this many are in progress, so that a slow store does not block all threads. */
    static constexpr int MaximumConcurrentWrites = 8;

    /** Returns a unique token for a write request without one. */
    using TokenGenerator = std::function<std::string()>;

    /** `hooks`, `core` and `writer` must outlive the object. */
    ResourceApi(const ControlSettings &settings,
                const ControlHooks &hooks,
                const ConfigurationCore &core,
                ConfigurationWriter &writer,
                TokenGenerator generateToken);

    ApiResponse handle(const ApiRequest &request);

private:
    struct ResourceId {
        ResourceKind kind = ResourceKind::Service;
        std::string name;
    };

    ApiResponse handleResource(const ApiRequest &request, const ResourceId &id);
    ApiResponse handleReadOnlyPath(const ApiRequest &request);
    ApiResponse list(ResourceKind kind) const;
    ApiResponse get(const ResourceId &id) const;
    ApiResponse put(const ApiRequest &request, const ResourceId &id);
    ApiResponse erase(const ApiRequest &request, const ResourceId &id);
    ApiResponse write(const ApiRequest &request, const ResourceId &id, ConfigurationWrite write);
    ApiResponse writeErrorResponse(const Error &error, const ResourceId &id, const std::string &token) const;
    ApiResponse status() const;
    web::json::value view(const KnownConfiguration &known, const ResourceId &id) const;
    std::optional<Error> authorize(const ApiRequest &request) const;

    std::string name_;
    std::string apiKey_;
    const ControlHooks &hooks_;
    const ConfigurationCore &core_;
    ConfigurationWriter &writer_;
    TokenGenerator generateToken_;
    std::atomic<int> writes_ {0};
};

} // namespace rhubarblane

#endif
