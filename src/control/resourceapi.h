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
    /** Requests with longer bodies are refused. */
    static constexpr std::size_t MaximumBodySize = std::size_t {1024} * 1024;
    /** Further writes are refused while this number is in progress, so that a slow store does not use up all threads.
     */
    static constexpr int MaximumConcurrentWrites = 8;

    /** Makes a token for a write that came without one. */
    using TokenGenerator = std::function<std::string()>;

    /** All references must outlive the object. */
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
