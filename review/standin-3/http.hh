// A small HTTP/1.1 server and client on blocking sockets, for the stand-ins of the cases 11 and up.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cctype>
#include <chrono>
#include <cstring>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <thread>

namespace review3 {

struct Request
{
    std::string method;
    std::string path;
    std::map<std::string, std::string> query;
    /** Names in lower case. */
    std::map<std::string, std::string> headers;
    std::string body;
};

struct Response
{
    int status = 200;
    std::string body;
};

inline std::string decodeUrl(const std::string &text)
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

/** Reads one message from a socket; keeps what follows it. */
class MessageReader
{
public:
    explicit MessageReader(int socket)
        : m_socket(socket)
    {
    }

    /** The start line and headers go to @p head, the rest to @p body; false at the end of the connection. */
    bool read(std::string &head, std::string &body)
    {
        std::size_t end = 0;
        while ((end = m_buffer.find("\r\n\r\n")) == std::string::npos) {
            if (!fill()) {
                return false;
            }
        }
        head = m_buffer.substr(0, end + 2);
        m_buffer.erase(0, end + 4);
        std::size_t length = 0;
        std::string lower;
        for (const char c : head) {
            lower += static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
        }
        if (const std::size_t at = lower.find("content-length:"); at != std::string::npos) {
            length = std::stoul(lower.substr(at + 15));
        }
        while (m_buffer.size() < length) {
            if (!fill()) {
                return false;
            }
        }
        body = m_buffer.substr(0, length);
        m_buffer.erase(0, length);
        return true;
    }

private:
    bool fill()
    {
        char bytes[16384];
        const ssize_t count = ::recv(m_socket, bytes, sizeof(bytes), 0);
        if (count <= 0) {
            return false;
        }
        m_buffer.append(bytes, static_cast<std::size_t>(count));
        return true;
    }

    int m_socket;
    std::string m_buffer;
};

inline bool sendAll(int socket, const std::string &bytes)
{
    std::size_t done = 0;
    while (done < bytes.size()) {
        const ssize_t sent = ::send(socket, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
        if (sent <= 0) {
            return false;
        }
        done += static_cast<std::size_t>(sent);
    }
    return true;
}

inline sockaddr_in socketAddress(const std::string &ip, int port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    ::inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

/** A port that is free on @p ip now, and that this function hasn't given before. */
inline int freePort(const std::string &ip)
{
    static std::set<int> given;
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = socketAddress(ip, 0);
    socklen_t size = sizeof(address);
    ::bind(socket, reinterpret_cast<sockaddr *>(&address), size);
    ::getsockname(socket, reinterpret_cast<sockaddr *>(&address), &size);
    ::close(socket);
    const int port = ntohs(address.sin_port);
    return given.insert(port).second ? port : freePort(ip);
}

/** Answers requests, each connection in a thread of its own. No value: the request stays without an answer. */
class Server
{
public:
    using Handler = std::function<std::optional<Response>(const Request &)>;

    /** Returns the port; the server runs until the process ends. */
    int listen(const std::string &ip, Handler handler)
    {
        m_handler = std::move(handler);
        m_socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address = socketAddress(ip, 0);
        socklen_t size = sizeof(address);
        if (::bind(m_socket, reinterpret_cast<sockaddr *>(&address), size) != 0 || ::listen(m_socket, 512) != 0) {
            return 0;
        }
        ::getsockname(m_socket, reinterpret_cast<sockaddr *>(&address), &size);
        std::thread([this] {
            for (;;) {
                const int socket = ::accept4(m_socket, nullptr, nullptr, SOCK_CLOEXEC);
                if (socket >= 0) {
                    std::thread([this, socket] { serve(socket); }).detach();
                }
            }
        }).detach();
        return ntohs(address.sin_port);
    }

private:
    void serve(int socket)
    {
        const int on = 1;
        ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        MessageReader reader(socket);
        std::string head;
        std::string body;
        while (reader.read(head, body)) {
            const std::optional<Response> response = m_handler(parse(head, body));
            if (!response) {
                // Nothing further comes on this connection; it ends when the caller gives up.
                char byte = 0;
                while (::recv(socket, &byte, 1, 0) > 0) { }
                break;
            }
            if (!sendAll(socket,
                         "HTTP/1.1 " + std::to_string(response->status)
                             + " -\r\nContent-Type: application/json\r\nContent-Length: "
                             + std::to_string(response->body.size()) + "\r\n\r\n" + response->body)) {
                break;
            }
        }
        ::close(socket);
    }

    static Request parse(const std::string &head, const std::string &body)
    {
        Request request;
        const std::size_t first = head.find(' ');
        const std::size_t second = head.find(' ', first + 1);
        request.method = head.substr(0, first);
        std::string target = head.substr(first + 1, second - first - 1);
        if (const std::size_t mark = target.find('?'); mark != std::string::npos) {
            std::string rest = target.substr(mark + 1);
            target.resize(mark);
            while (!rest.empty()) {
                const std::size_t next = rest.find('&');
                const std::string pair = rest.substr(0, next);
                const std::size_t equals = pair.find('=');
                request.query[pair.substr(0, equals)] =
                    equals == std::string::npos ? "" : decodeUrl(pair.substr(equals + 1));
                rest = next == std::string::npos ? "" : rest.substr(next + 1);
            }
        }
        request.path = target;
        request.body = body;
        std::size_t line = head.find("\r\n") + 2;
        while (line < head.size()) {
            const std::size_t end = head.find("\r\n", line);
            const std::string text = head.substr(line, end - line);
            if (const std::size_t colon = text.find(':'); colon != std::string::npos) {
                std::string name = text.substr(0, colon);
                for (char &c : name) {
                    c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
                }
                std::size_t begin = colon + 1;
                while (begin < text.size() && text[begin] == ' ') {
                    ++begin;
                }
                request.headers[name] = text.substr(begin);
            }
            line = end + 2;
        }
        return request;
    }

    int m_socket = -1;
    Handler m_handler;
};

/** One request on a connection of its own; status 0 when no whole answer comes in time. */
inline Response call(const std::string &ip, int port, const std::string &method, const std::string &path,
                     const std::string &host, const std::string &body, int timeoutMs)
{
    Response response { 0, {} };
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    timeval timeout { timeoutMs / 1000, (timeoutMs % 1000) * 1000 };
    ::setsockopt(socket, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
    ::setsockopt(socket, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof(timeout));
    const sockaddr_in address = socketAddress(ip, port);
    if (::connect(socket, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) == 0) {
        std::string text = method + " " + path + " HTTP/1.1\r\nHost: " + host
            + "\r\nX-Deadline-Ms: " + std::to_string(timeoutMs) + "\r\n";
        if (!body.empty()) {
            text += "Content-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n";
        }
        MessageReader reader(socket);
        std::string head;
        if (sendAll(socket, text + "\r\n" + body) && reader.read(head, response.body) && head.size() > 12) {
            response.status = std::stoi(head.substr(9, 3));
        }
    }
    ::close(socket);
    return response;
}

} // namespace review3
