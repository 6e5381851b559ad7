#pragma once

#include "deadlinestream.h"
#include "httpconnectionpool.h"

#include <httplib.h>

namespace currantring {

/** One connection to one server that carries one exchange at a time. Thread safety: one thread at a time. */
class HttpConnection : public httplib::ClientImpl
{
public:
    using Clock = DeadlineStream::Clock;

    HttpConnection(const std::string &host, int port, const HttpClientOptions &options);

    /** Sends @p request once. After an error the connection must be closed. */
    tl::expected<HttpAnswer, HttpError> exchange(const HttpRequest &request, Clock::time_point deadline);
    /** Whether the last exchange left the connection fit for another one. */
    [[nodiscard]] bool isReusable() const;

private:
    bool process_socket(const Socket &socket, std::function<bool(httplib::Stream &)> callback) override;

    const HttpClientOptions m_options;
    Clock::time_point m_deadline;
    bool m_written = false;
    bool m_reusable = true;
};

} // namespace currantring
