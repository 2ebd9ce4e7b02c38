#ifndef RHUBARBLANE_CONTROL_CONTROLSERVER_H
#define RHUBARBLANE_CONTROL_CONTROLSERVER_H

#include "base/outcome.h"
#include "control/controlsettings.h"

#include <cstdint>
#include <memory>
#include <optional>

namespace rhubarblane
{

/**
 * The control plane of a balancer: serves the operators' API, reads the configuration from the store or from peers and
 * serves it to peers. Runs on its own threads.
 */
class ControlServer
{
public:
    ControlServer(ControlSettings settings, ControlHooks hooks);
    ~ControlServer();
    ControlServer(const ControlServer &) = delete;
    ControlServer &operator=(const ControlServer &) = delete;

    /** Opens the listeners and starts the threads. The error names the invalid setting. */
    std::optional<Error> start();

    /** Stops all threads; no hook is called after it returns. Has no effect if the server is not started. */
    void stop();

    /** Returns the port in use; 0 before start(). */
    std::uint16_t httpPort() const;
    std::uint16_t peerPort() const;

private:
    class Private;
    std::shared_ptr<Private> d_;
};

} // namespace rhubarblane

#endif
