#include "standins/storeprogram.h"

#include "standins/options.h"
#include "standins/storestandin.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include <iostream>

namespace rhubarblane
{

int runStoreStandin(const std::vector<std::string> &arguments)
{
    const Options options("store", arguments, {{"listen", "127.0.0.1:2379", "TCP address of the JSON gateway"}});
    StoreStandin store;
    if (const std::optional<Error> error = store.start(formatPeerAddress(options.address("listen")))) {
        std::cerr << "store: --listen: " << error->message << "\n";
        return 1;
    }
    std::cout << "ready" << std::endl;
    boost::asio::io_context context;
    boost::asio::signal_set signals(context, SIGINT, SIGTERM);
    signals.async_wait([&context](const boost::system::error_code &, int) { context.stop(); });
    context.run();
    store.stop();
    return 0;
}

} // namespace rhubarblane
