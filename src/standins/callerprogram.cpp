#include "standins/callerstandin.h"
#include "standins/options.h"

#include <boost/asio/signal_set.hpp>

#include <iostream>

namespace rhubarblane
{

namespace
{

constexpr int ExitUsage = 2;

const std::map<std::string, CallerKind> &kinds()
{
    static const std::map<std::string, CallerKind> known {{"request", CallerKind::Request},
                                                          {"booking", CallerKind::Booking},
                                                          {"stream", CallerKind::Stream},
                                                          {"upload", CallerKind::Upload}};
    return known;
}

} // namespace

int runCallerStandin(const std::vector<std::string> &arguments)
{
    const Options options("callers",
                          arguments,
                          {{"name", "callers", "prefix of all flow ids"},
                           {"fabric", "127.0.0.1:6000", "the fabric's address for callers"},
                           {"address", "10.200.0.1", "IPv4 address of the callers"},
                           {"service", "", "name of the service"},
                           {"service-address", "10.100.0.1:5000", "address of the service"},
                           {"kind", "request", "request, booking, stream or upload"},
                           {"tcp", "0", "1: TCP instead of UDP"},
                           {"flows", "10", "number of concurrent streams or uploads"},
                           {"rate", "10", "new requests or bookings per second"},
                           {"work-ms", "20", "mean work of a request in ms"},
                           {"chunks", "20", "number of chunks in an upload"},
                           {"chunk-interval-ms", "50", "pause in ms before the next chunk"},
                           {"duration-ms", "10000", "time in ms during which flows are opened"},
                           {"timeout-ms", "5000", "time-out in ms of a flow without an answer"},
                           {"seed", "1", "seed of the random generator"},
                           {"log", "", "file to append a line to for each flow that was not completed"}});
    const auto kind = kinds().find(options.text("kind"));
    if (kind == kinds().end()) {
        std::cerr << "callers: --kind: '" << options.text("kind")
                  << "' is not allowed; allowed: request, booking, stream or upload\n";
        return ExitUsage;
    }
    CallerStandinSettings settings;
    settings.name = options.text("name");
    settings.fabric = options.address("fabric");
    settings.address = options.host("address");
    settings.service = options.text("service");
    settings.serviceAddress = options.address("service-address");
    settings.kind = kind->second;
    settings.tcp = options.integer("tcp") != 0;
    settings.flows = options.integer("flows");
    settings.rate = options.number("rate");
    settings.workMs = options.number("work-ms");
    settings.chunks = options.integer("chunks");
    settings.chunkIntervalMs = options.integer("chunk-interval-ms");
    settings.durationMs = options.integer("duration-ms");
    settings.timeoutMs = options.integer("timeout-ms");
    settings.seed = static_cast<std::uint64_t>(options.integer("seed"));
    settings.log = options.text("log");
    boost::asio::io_context context;
    const CallerStandin callers(context, settings, [&context] { context.stop(); });
    boost::asio::signal_set signals(context, SIGINT, SIGTERM);
    signals.async_wait([&context](const boost::system::error_code &, int) { context.stop(); });
    context.run();
    std::cout << callers.summary() << std::endl;
    return 0;
}

} // namespace rhubarblane
