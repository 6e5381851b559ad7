#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace currantring::net {

/** One header field. */
struct HttpHeader
{
    std::string name;
    std::string value;
};

/** A request without its connection's header fields: host, length and content type are added when it is sent. */
struct HttpRequest
{
    std::string method;
    /** Path and query. */
    std::string target;
    std::vector<HttpHeader> headers;
    std::string body;
};

/** A whole response; the length of its body was checked. */
struct HttpResponse
{
    unsigned status = 0;
    std::vector<HttpHeader> headers;
    std::string body;
};

/** Value of the first field called @p name in lower or upper case; empty when there is none. */
std::string_view headerValue(const std::vector<HttpHeader> &headers, std::string_view name);

} // namespace currantring::net
