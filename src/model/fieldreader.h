#ifndef RHUBARBLANE_MODEL_FIELDREADER_H
#define RHUBARBLANE_MODEL_FIELDREADER_H

#include "base/outcome.h"

#include <cpprest/json.h>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace rhubarblane
{

/** Reads the fields of a JSON object and records the first error. */
class FieldReader
{
public:
    explicit FieldReader(const web::json::value &object);

    std::string text(const std::string &field, const std::string &fallback);
    std::string requiredText(const std::string &field);
    std::string choice(const std::string &field, const std::vector<std::string> &allowed, const std::string &fallback);
    std::int64_t integer(const std::string &field, std::int64_t minimum, std::int64_t maximum, std::int64_t fallback);
    std::int64_t requiredInteger(const std::string &field, std::int64_t minimum, std::int64_t maximum);
    bool boolean(const std::string &field, bool fallback);
    std::map<std::string, std::string> textMap(const std::string &field);
    web::json::value object(const std::string &field);

    /** Records an error that the calling code found in a field. */
    void fail(const std::string &field, const std::string &message);

    /** Returns the first error. A field of the object that was not read is an error, too. */
    std::optional<Error> finish();

private:
    const web::json::value *readField(const std::string &field);

    web::json::value object_;
    std::set<std::string> readFields_;
    std::optional<Error> error_;
};

} // namespace rhubarblane

#endif
