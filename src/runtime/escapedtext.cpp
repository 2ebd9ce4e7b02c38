#include "runtime/escapedtext.h"

namespace rhubarblane
{

std::string escapedText(const std::string &text)
{
    std::string result;
    for (const char c : text) {
        if (c == '\n') {
            result += "\\n";
            continue;
        }
        if (c == '"' || c == '\\') {
            result.push_back('\\');
        }
        result.push_back(c);
    }
    return result;
}

} // namespace rhubarblane
