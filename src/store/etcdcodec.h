#ifndef RHUBARBLANE_STORE_ETCDCODEC_H
#define RHUBARBLANE_STORE_ETCDCODEC_H

#include "base/outcome.h"
#include "store/configstore.h"

#include <cpprest/json.h>

#include <cstdint>
#include <string>

namespace rhubarblane
{

/** Encoding of the etcd v3 JSON gateway: bytes are base64, 64-bit integers are strings, default values are left out. */
std::string encodeBytes(const std::string &bytes);

/** Throws web::json::json_exception if the field is not base64; empty if it is absent. */
std::string decodeBytes(const web::json::value &object, const std::string &field);

web::json::value encodeInteger(std::uint64_t value);

/** Reads a string or a number; 0 if the field is absent or neither. */
std::uint64_t decodeInteger(const web::json::value &object, const std::string &field);

/** The smallest key that is greater than every key with the prefix. */
std::string prefixEnd(std::string prefix);

web::json::value encodeRange(const std::string &prefix);
web::json::value encodeTransaction(const StoreTransaction &transaction);
web::json::value encodeWatch(const std::string &prefix, Revision from);

StoredValue decodeValue(const web::json::value &kv);
StoredRange decodeRange(const web::json::value &answer);

/** One message of a watch stream. NotFound if the start revision was compacted, Unavailable if it was cancelled. */
Outcome<std::vector<StoredChange>> decodeWatch(const web::json::value &message);

} // namespace rhubarblane

#endif
