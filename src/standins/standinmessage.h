#ifndef RHUBARBLANE_STANDINS_STANDINMESSAGE_H
#define RHUBARBLANE_STANDINS_STANDINMESSAGE_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace rhubarblane
{

/**
 * A message between the stand-ins for callers and targets: one line of space-separated fields. Callers send "request",
 * "book", "stream", "alive", "end" and "chunk". Targets reply with "answer", "booked", "data", "got", "busy", "reset"
 * and "wrong".
 */
struct StandinMessage {
    std::string verb;
    std::string service;
    /** Id of the flow, unique among all callers. */
    std::string id;
    /** Work in ms or sequence number, depending on the verb. */
    std::int64_t number = 0;
    /** Last sequence number of an upload. */
    std::int64_t last = 0;
};

std::string formatStandinMessage(const StandinMessage &message);
std::optional<StandinMessage> parseStandinMessage(std::string_view line);

} // namespace rhubarblane

#endif
