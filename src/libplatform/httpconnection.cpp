#include "httpconnection.h"

#include <algorithm>

namespace currantring {

namespace {

/** httplib reads an answer without a length until the connection ends; such an answer can't be checked. */
bool isWhole(const httplib::Response &response)
{
    return response.has_header("Content-Length")
        && response.get_header_value<std::uint64_t>("Content-Length") == response.body.size();
}

httplib::Request makeRequest(const HttpRequest &request)
{
    httplib::Request made;
    made.method = request.method;
    made.path = request.target;
    made.body = request.body;
    for (const auto &[name, value] : request.headers) {
        made.headers.emplace(name, value);
    }
    if (!request.contentType.empty()) {
        made.set_header("Content-Type", request.contentType);
    }
    return made;
}

} // namespace

HttpConnection::HttpConnection(const std::string &host, int port, const HttpClientOptions &options)
    : httplib::ClientImpl(host, port)
    , m_options(options)
{
    set_keep_alive(true);
    set_tcp_nodelay(true);
    set_follow_location(false);
    set_url_encode(false);
    set_decompress(false);
}

tl::expected<HttpAnswer, HttpError> HttpConnection::exchange(const HttpRequest &request, Clock::time_point deadline)
{
    m_deadline = deadline;
    m_written = false;
    m_reusable = false;
    const auto left = std::chrono::ceil<Milliseconds>(deadline - Clock::now());
    if (left.count() <= 0) {
        return tl::unexpected(HttpError::NotSent);
    }
    set_connection_timeout(std::min(left, m_options.connectTimeout));
    httplib::Request made = makeRequest(request);
    httplib::Response response;
    httplib::Error error = httplib::Error::Success;
    const bool answered = send(made, response, error);
    if (!answered || !isWhole(response)) {
        m_reusable = false;
        return tl::unexpected(m_written ? HttpError::Unknown : HttpError::NotSent);
    }
    return HttpAnswer { response.status, std::move(response.body),
                        response.get_header_value("Currantring-Request-Id") };
}

bool HttpConnection::isReusable() const
{
    return m_reusable;
}

bool HttpConnection::process_socket(const Socket &socket, std::function<bool(httplib::Stream &)> callback)
{
    DeadlineStream stream(socket.sock, m_deadline, m_options.answerBytes);
    if (stream.isStale()) {
        return false;
    }
    const bool done = callback(stream);
    m_written = stream.hasWritten();
    m_reusable = done && !stream.hasLeftover();
    return done;
}

} // namespace currantring
