#include "storerequestcodec.h"

#include <algorithm>
#include <exception>
#include <stdexcept>
#include <string>

namespace currantring {

namespace {

constexpr std::string_view hexDigits = "0123456789abcdef";

bool isAscii(std::string_view text)
{
    return std::ranges::all_of(text, [](unsigned char byte) { return byte < 0x80; });
}

std::string toHex(std::string_view bytes)
{
    std::string hex;
    hex.reserve(bytes.size() * 2);
    for (const unsigned char byte : bytes) {
        hex += hexDigits[byte >> 4U];
        hex += hexDigits[byte & 0xfU];
    }
    return hex;
}

unsigned digitValue(char digit)
{
    const std::size_t value = hexDigits.find(digit);
    if (value == std::string_view::npos) {
        throw std::invalid_argument("no hexadecimal digit");
    }
    return static_cast<unsigned>(value);
}

std::string fromHex(std::string_view hex)
{
    if (hex.size() % 2 != 0) {
        throw std::invalid_argument("odd count of hexadecimal digits");
    }
    std::string bytes;
    bytes.reserve(hex.size() / 2);
    for (std::size_t at = 0; at < hex.size(); at += 2) {
        bytes += static_cast<char>(digitValue(hex[at]) << 4U | digitValue(hex[at + 1]));
    }
    return bytes;
}

template<typename Value>
void readIfPresent(const nlohmann::json &json, const char *name, Value &value)
{
    if (json.contains(name)) {
        json.at(name).get_to(value);
    }
}

} // namespace

void to_json(nlohmann::json &json, const StoreEntry &entry)
{
    json = { { "key", entry.key }, { "version", entry.version } };
    if (isAscii(entry.value)) {
        json["value"] = entry.value;
    } else {
        json["valueHex"] = toHex(entry.value);
    }
}

void from_json(const nlohmann::json &json, StoreEntry &entry)
{
    json.at("key").get_to(entry.key);
    json.at("version").get_to(entry.version);
    if (json.contains("valueHex")) {
        entry.value = fromHex(json.at("valueHex").get_ref<const std::string &>());
    } else {
        json.at("value").get_to(entry.value);
    }
}

nlohmann::json encodeStoreReply(const StoreReply &reply)
{
    nlohmann::json json = nlohmann::json::object();
    if (!reply.entries.empty()) {
        json["entries"] = reply.entries;
    }
    if (reply.version.value() != 0) {
        json["version"] = reply.version;
    }
    if (reply.revision.value() != 0) {
        json["revision"] = reply.revision;
    }
    if (reply.lease.value() != 0) {
        json["lease"] = reply.lease;
    }
    if (!reply.workers.empty()) {
        json["workers"] = reply.workers;
    }
    return json;
}

std::optional<StoreReply> decodeStoreReply(std::string_view text)
{
    try {
        const nlohmann::json json = nlohmann::json::parse(text);
        if (!json.is_object()) {
            return std::nullopt;
        }
        StoreReply reply;
        readIfPresent(json, "entries", reply.entries);
        readIfPresent(json, "version", reply.version);
        readIfPresent(json, "revision", reply.revision);
        readIfPresent(json, "lease", reply.lease);
        readIfPresent(json, "workers", reply.workers);
        return reply;
    } catch (const std::exception &) {
        return std::nullopt;
    }
}

} // namespace currantring
