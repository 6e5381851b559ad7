#pragma once

#include <atomic>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>

namespace review {

struct HttpRequest
{
    std::string method;
    std::string path;
    /** Decoded parameters of the query. */
    std::map<std::string, std::string> query;
    /** Names in lower case. */
    std::map<std::string, std::string> headers;
    std::string body;
    /** The port's epoch when the connection of the request was accepted. */
    int epoch = 0;
};

struct HttpReply
{
    int status = 200;
    std::string body;
    /** Closes the connection in place of an answer. */
    bool isDropped = false;
};

/** One HTTP server on a loopback address, with a thread for each connection. */
class HttpPort
{
public:
    using Handler = std::function<HttpReply(const HttpRequest &request)>;

    explicit HttpPort(Handler handler);
    ~HttpPort();
    HttpPort(const HttpPort &) = delete;
    HttpPort &operator=(const HttpPort &) = delete;

    /** Listens on the port that it had before, or on a free one. */
    void open();
    /** Closes the listener and all connections, as the end of a process does. */
    void close();
    [[nodiscard]] std::string address() const;
    [[nodiscard]] bool isOpen() const;
    /** Requests over connections that were accepted before can be told by their epoch from now on. */
    void beginEpoch();
    [[nodiscard]] int epoch() const;

private:
    void acceptAll(int listener);
    void serve(int socket, int epoch);

    Handler m_handler;
    std::mutex m_mutex;
    std::set<int> m_sockets;
    std::thread m_acceptor;
    std::atomic<int> m_listener { -1 };
    std::atomic<int> m_epoch { 0 };
    int m_port = 0;
};

/** Reads one message with a body of a given length; nullopt when the connection ends before. */
struct HttpMessage
{
    std::string firstLine;
    std::map<std::string, std::string> headers;
    std::string body;
};
std::optional<HttpMessage> readMessage(int socket, std::string &buffer);

/** One call over a connection of its own; the status is 0 without a whole answer in time. */
HttpReply callHttp(const std::string &address, const std::string &method, const std::string &target,
                   const std::map<std::string, std::string> &headers, const std::string &body, int timeoutMs);

/** The first free port of the given loopback address from @p from on, below those that outgoing connections take. */
int freePort(const std::string &ip, int from);

/** Standard base64 with padding. */
std::string encodeBase64(const std::string &bytes);
std::string decodeBase64(const std::string &text);

} // namespace review
