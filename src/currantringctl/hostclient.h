#pragma once

#include "units.h"

#include <map>
#include <optional>
#include <string>

#include <tl/expected.hpp>

namespace currantring {

/** An answer of a host. */
struct HostAnswer
{
    int status = 0;
    /** Word of the header Currantring-Outcome; `unknown` when the answer has none. */
    std::string outcome;
    std::string body;
};

/** Why there is no answer. */
enum class NoAnswer {
    /** The request surely didn't reach the host. */
    NotSent,
    /** It may have taken effect. */
    Lost,
};

using HostResult = tl::expected<HostAnswer, NoAnswer>;

/**
 * Sends single requests to one host.
 *
 * Thread safety: one thread at a time.
 */
class HostClient
{
public:
    using Headers = std::map<std::string, std::string>;

    /** Precondition: @p address is `IP:port`. */
    HostClient(std::string address, Milliseconds timeout);

    [[nodiscard]] HostResult get(const std::string &path) const;
    [[nodiscard]] HostResult post(const std::string &path, const std::string &body, const Headers &headers = {}) const;
    [[nodiscard]] const std::string &address() const;

private:
    const std::string m_address;
    const Milliseconds m_timeout;
};

/** Writes @p text so that it can stand as one segment of a path. Thread safety: reentrant. */
std::string pathSegment(const std::string &text);

} // namespace currantring
