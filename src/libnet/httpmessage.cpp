#include "httpmessage.h"

#include <boost/beast/core/string.hpp>

namespace currantring::net {

std::string_view headerValue(const std::vector<HttpHeader> &headers, std::string_view name)
{
    const boost::beast::string_view wanted(name.data(), name.size());
    for (const HttpHeader &header : headers) {
        if (boost::beast::iequals(header.name, wanted)) {
            return header.value;
        }
    }
    return {};
}

} // namespace currantring::net
