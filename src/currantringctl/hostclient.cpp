#include "hostclient.h"

#include <array>
#include <cctype>
#include <utility>

#include <httplib.h>

namespace currantring {

namespace {

constexpr Milliseconds connectTime { 2000 };

httplib::Client makeClient(const std::string &address, Milliseconds timeout)
{
    httplib::Client client("http://" + address);
    client.set_connection_timeout(connectTime);
    client.set_read_timeout(timeout);
    client.set_write_timeout(timeout);
    client.set_url_encode(false);
    return client;
}

HostResult convert(const httplib::Result &result)
{
    if (!result) {
        const bool unsent = result.error() == httplib::Error::Connection
            || result.error() == httplib::Error::ConnectionTimeout || result.error() == httplib::Error::BindIPAddress;
        return tl::unexpected(unsent ? NoAnswer::NotSent : NoAnswer::Lost);
    }
    const std::string outcome = result->get_header_value("Currantring-Outcome");
    return HostAnswer { result->status, outcome.empty() ? "unknown" : outcome, result->body };
}

} // namespace

HostClient::HostClient(std::string address, Milliseconds timeout)
    : m_address(std::move(address))
    , m_timeout(timeout)
{
}

HostResult HostClient::get(const std::string &path) const
{
    return convert(makeClient(m_address, m_timeout).Get(path));
}

HostResult HostClient::post(const std::string &path, const std::string &body, const Headers &headers) const
{
    httplib::Headers all;
    for (const auto &[name, value] : headers) {
        all.emplace(name, value);
    }
    return convert(makeClient(m_address, m_timeout).Post(path, all, body, "application/octet-stream"));
}

const std::string &HostClient::address() const
{
    return m_address;
}

std::string pathSegment(const std::string &text)
{
    constexpr std::string_view digits = "0123456789ABCDEF";
    std::string result;
    for (const char character : text) {
        const auto byte = static_cast<unsigned char>(character);
        if (std::isalnum(byte) != 0 || character == '-' || character == '_' || character == '.') {
            result += character;
        } else {
            result += { '%', digits[byte >> 4U], digits[byte & 0xfU] };
        }
    }
    return result;
}

} // namespace currantring
