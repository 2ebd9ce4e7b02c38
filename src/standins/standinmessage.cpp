#include "standins/standinmessage.h"

#include <sstream>

namespace rhubarblane
{

std::string formatStandinMessage(const StandinMessage &message)
{
    return message.verb + " " + message.service + " " + message.id + " " + std::to_string(message.number) + " "
        + std::to_string(message.last) + "\n";
}

std::optional<StandinMessage> parseStandinMessage(std::string_view line)
{
    std::istringstream text {std::string(line)};
    StandinMessage message;
    if (!(text >> message.verb >> message.service >> message.id >> message.number >> message.last)) {
        return std::nullopt;
    }
    return message;
}

} // namespace rhubarblane
