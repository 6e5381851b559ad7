#include "urlencoding.h"

namespace currantring {

namespace {

constexpr std::string_view unreserved = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~";
constexpr std::string_view hexDigits = "0123456789ABCDEF";

std::string encode(std::string_view text, std::string_view alsoKept)
{
    std::string encoded;
    for (const char character : text) {
        if (unreserved.find(character) != std::string_view::npos
            || alsoKept.find(character) != std::string_view::npos) {
            encoded += character;
            continue;
        }
        const auto byte = static_cast<unsigned char>(character);
        encoded += '%';
        encoded += hexDigits[byte >> 4U];
        encoded += hexDigits[byte & 0xfU];
    }
    return encoded;
}

} // namespace

std::string encodeUrlPath(std::string_view text)
{
    return encode(text, "/");
}

std::string encodeUrlParameter(std::string_view text)
{
    return encode(text, "");
}

} // namespace currantring
