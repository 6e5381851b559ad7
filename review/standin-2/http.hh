#pragma once

// A small HTTP/1.1 server and client for stand-ins: one thread for each connection, loopback addresses only.

#include <atomic>
#include <cctype>
#include <cstring>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <stdexcept>
#include <string>
#include <thread>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace review2 {

struct Request
{
    std::string method;
    std::string target;
    std::map<std::string, std::string> headers;
    std::string body;

    /** Path without the query. */
    std::string path() const
    {
        return target.substr(0, target.find('?'));
    }

    /** A parameter of the query, decoded; empty when it is absent. */
    std::string query(const std::string &name) const
    {
        const std::size_t mark = target.find('?');
        std::string rest = mark == std::string::npos ? "" : target.substr(mark + 1);
        while (!rest.empty()) {
            const std::size_t end = rest.find('&');
            const std::string pair = rest.substr(0, end);
            rest = end == std::string::npos ? "" : rest.substr(end + 1);
            const std::size_t equals = pair.find('=');
            if (pair.substr(0, equals) == name && equals != std::string::npos) {
                return decode(pair.substr(equals + 1));
            }
        }
        return "";
    }

    static std::string decode(const std::string &text)
    {
        std::string out;
        for (std::size_t i = 0; i < text.size(); ++i) {
            if (text[i] == '%' && i + 2 < text.size()) {
                out += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
                i += 2;
            } else {
                out += text[i] == '+' ? ' ' : text[i];
            }
        }
        return out;
    }
};

struct Response
{
    enum class Kind { Send, Reset, Silent };

    int status = 200;
    std::string body = "{}";
    Kind kind = Kind::Send;
};

inline sockaddr_in nativeAddress(const std::string &address)
{
    const std::size_t colon = address.rfind(':');
    sockaddr_in native {};
    native.sin_family = AF_INET;
    native.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
    inet_pton(AF_INET, address.substr(0, colon).c_str(), &native.sin_addr);
    return native;
}

inline void resetOnClose(int socket)
{
    const linger hard { 1, 0 };
    setsockopt(socket, SOL_SOCKET, SO_LINGER, &hard, sizeof(hard));
}

inline bool sendAll(int socket, const std::string &bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t count = ::send(socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

/** Reads one message; @p buffer keeps what follows it. False when the connection ended or @p timeoutMs is over. */
inline bool readMessage(int socket, std::string &buffer, std::string &firstLine,
                        std::map<std::string, std::string> &headers, std::string &body, int timeoutMs)
{
    const auto receive = [&] {
        pollfd wait { socket, POLLIN, 0 };
        if (timeoutMs >= 0 && ::poll(&wait, 1, timeoutMs) <= 0) {
            return false;
        }
        char bytes[65536];
        const ssize_t count = ::recv(socket, bytes, sizeof(bytes), 0);
        if (count <= 0) {
            return false;
        }
        buffer.append(bytes, static_cast<std::size_t>(count));
        return true;
    };
    std::size_t end = 0;
    while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
        if (!receive()) {
            return false;
        }
    }
    const std::string head = buffer.substr(0, end);
    buffer.erase(0, end + 4);
    std::size_t place = head.find("\r\n");
    firstLine = head.substr(0, place);
    headers.clear();
    while (place != std::string::npos) {
        const std::size_t next = head.find("\r\n", place + 2);
        const std::string line = head.substr(place + 2, next == std::string::npos ? next : next - place - 2);
        const std::size_t colon = line.find(':');
        if (colon != std::string::npos) {
            std::string name = line.substr(0, colon);
            for (char &letter : name) {
                letter = static_cast<char>(std::tolower(static_cast<unsigned char>(letter)));
            }
            const std::size_t first = line.find_first_not_of(' ', colon + 1);
            headers[name] = first == std::string::npos ? "" : line.substr(first);
        }
        place = next;
    }
    const std::size_t length = headers.contains("content-length") ? std::stoul(headers["content-length"]) : 0;
    while (buffer.size() < length) {
        if (!receive()) {
            return false;
        }
    }
    body = buffer.substr(0, length);
    buffer.erase(0, length);
    return true;
}

/** Serves one address. stop() closes the listener and resets all connections, as a crash does. */
class Server
{
public:
    using Handler = std::function<Response(const Request &)>;

    explicit Server(Handler handler)
        : m_handler(std::move(handler))
    {
    }

    ~Server()
    {
        stop();
    }

    /** Listens on @p ip and @p port; port 0 takes any. */
    void listen(const std::string &ip, int port = 0)
    {
        m_listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
        sockaddr_in native = nativeAddress(ip + ":" + std::to_string(port));
        if (::bind(m_listener, reinterpret_cast<sockaddr *>(&native), sizeof(native)) != 0
            || ::listen(m_listener, 512) != 0) {
            throw std::runtime_error("can't listen on " + ip);
        }
        socklen_t size = sizeof(native);
        getsockname(m_listener, reinterpret_cast<sockaddr *>(&native), &size);
        m_port = ntohs(native.sin_port);
        m_address = ip + ":" + std::to_string(m_port);
        m_isOpen = true;
        m_acceptor = std::thread([this] { acceptAll(); });
    }

    void stop()
    {
        if (!m_isOpen.exchange(false)) {
            return;
        }
        ::shutdown(m_listener, SHUT_RDWR);
        m_acceptor.join();
        ::close(m_listener);
        const std::lock_guard lock(m_mutex);
        for (const int socket : m_sockets) {
            resetOnClose(socket);
            ::shutdown(socket, SHUT_RDWR);
        }
    }

    const std::string &address() const
    {
        return m_address;
    }
    int port() const
    {
        return m_port;
    }

private:
    void acceptAll()
    {
        while (m_isOpen) {
            const int socket = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (socket < 0) {
                if (!m_isOpen) {
                    return;
                }
                continue;
            }
            const int on = 1;
            setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
            {
                const std::lock_guard lock(m_mutex);
                m_sockets.insert(socket);
            }
            std::thread([this, socket] { serve(socket); }).detach();
        }
    }

    void serve(int socket)
    {
        std::string buffer;
        std::string line;
        Request request;
        while (readMessage(socket, buffer, line, request.headers, request.body, -1)) {
            const std::size_t space = line.find(' ');
            request.method = line.substr(0, space);
            request.target = line.substr(space + 1, line.rfind(' ') - space - 1);
            const Response response = m_handler(request);
            if (response.kind == Response::Kind::Reset) {
                resetOnClose(socket);
                break;
            }
            if (response.kind == Response::Kind::Silent) {
                // Nothing further comes on this connection; the other end closes it.
                char byte = 0;
                while (::recv(socket, &byte, 1, 0) > 0) { }
                break;
            }
            if (!sendAll(socket,
                         "HTTP/1.1 " + std::to_string(response.status)
                             + " X\r\nContent-Type: application/json\r\nContent-Length: "
                             + std::to_string(response.body.size()) + "\r\n\r\n" + response.body)) {
                break;
            }
        }
        const std::lock_guard lock(m_mutex);
        m_sockets.erase(socket);
        ::close(socket);
    }

    Handler m_handler;
    int m_listener = -1;
    int m_port = 0;
    std::string m_address;
    std::atomic<bool> m_isOpen { false };
    std::thread m_acceptor;
    std::mutex m_mutex;
    std::set<int> m_sockets;
};

/** One request on a connection of its own; nullopt without a complete answer in time. */
inline std::optional<Response> call(const std::string &address, const Request &request, int timeoutMs)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in native = nativeAddress(address);
    std::optional<Response> response;
    if (::connect(socket, reinterpret_cast<const sockaddr *>(&native), sizeof(native)) == 0) {
        std::string text = request.method + " " + request.target + " HTTP/1.1\r\n";
        for (const auto &[name, value] : request.headers) {
            text += name + ": " + value + "\r\n";
        }
        text += "Content-Length: " + std::to_string(request.body.size()) + "\r\n\r\n" + request.body;
        std::string buffer;
        std::string line;
        std::map<std::string, std::string> headers;
        Response read;
        if (sendAll(socket, text) && readMessage(socket, buffer, line, headers, read.body, timeoutMs)) {
            read.status = std::stoi(line.substr(line.find(' ') + 1));
            response = read;
        }
    }
    ::close(socket);
    return response;
}

} // namespace review2
