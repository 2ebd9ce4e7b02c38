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
 * The control part of a balancer: operators' API, reading the configuration from the store or from peers, and serving
 * it to peers. Runs on its own threads.
 */
class ControlServer
{
public:
    ControlServer(ControlSettings settings, ControlHooks hooks);
    ~ControlServer();
    ControlServer(const ControlServer &) = delete;
    ControlServer &operator=(const ControlServer &) = delete;

    /** Opens the listeners and starts the threads. The error names the setting at fault. */
    std::optional<Error> start();

    /** Ends all threads; no hook is called after it returns. Does nothing if not started. */
    void stop();

    /** The port in use; 0 before start. */
    std::uint16_t httpPort() const;
    std::uint16_t peerPort() const;

private:
    class Private;
    std::shared_ptr<Private> d_;
};

} // namespace rhubarblane

#endif
