#include "httpport.hh"

#include "record.hh"

#include <algorithm>
#include <cerrno>
#include <cstdint>
#include <cstring>
#include <stdexcept>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace review {

namespace {

const std::string letters = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
const std::string ownIp = "127.0.0.1";
constexpr int portsTried = 30;

sockaddr_in socketAddress(const std::string &ip, int port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    ::inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

int listenOn(const std::string &ip, int port, int *actual)
{
    const int listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    sockaddr_in address = socketAddress(ip, port);
    if (::bind(listener, reinterpret_cast<sockaddr *>(&address), sizeof(address)) != 0
        || ::listen(listener, 128) != 0) {
        ::close(listener);
        throw std::runtime_error("can't listen on " + ip + ":" + std::to_string(port) + ": " + std::strerror(errno));
    }
    socklen_t size = sizeof(address);
    ::getsockname(listener, reinterpret_cast<sockaddr *>(&address), &size);
    *actual = ntohs(address.sin_port);
    return listener;
}

std::string decodeUrl(const std::string &text)
{
    std::string decoded;
    for (std::size_t at = 0; at < text.size(); ++at) {
        if (text[at] == '%' && at + 2 < text.size()) {
            decoded += static_cast<char>(std::stoi(text.substr(at + 1, 2), nullptr, 16));
            at += 2;
        } else {
            decoded += text[at];
        }
    }
    return decoded;
}

HttpRequest toRequest(HttpMessage message)
{
    HttpRequest request;
    const std::size_t first = message.firstLine.find(' ');
    const std::size_t second = message.firstLine.find(' ', first + 1);
    request.method = message.firstLine.substr(0, first);
    const std::string target = message.firstLine.substr(first + 1, second - first - 1);
    const std::size_t mark = target.find('?');
    request.path = target.substr(0, mark);
    std::string rest = mark == std::string::npos ? "" : target.substr(mark + 1);
    while (!rest.empty()) {
        const std::size_t end = rest.find('&');
        const std::string pair = rest.substr(0, end);
        const std::size_t equals = pair.find('=');
        request.query[pair.substr(0, equals)] = equals == std::string::npos ? "" : decodeUrl(pair.substr(equals + 1));
        rest = end == std::string::npos ? "" : rest.substr(end + 1);
    }
    request.headers = std::move(message.headers);
    request.body = std::move(message.body);
    return request;
}

bool sendAll(int socket, const std::string &text)
{
    std::size_t sent = 0;
    while (sent < text.size()) {
        const ssize_t count = ::send(socket, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
        if (count <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

bool receiveMore(int socket, std::string &buffer)
{
    char bytes[16384];
    const ssize_t count = ::recv(socket, bytes, sizeof(bytes), 0);
    if (count > 0) {
        buffer.append(bytes, static_cast<std::size_t>(count));
    }
    return count > 0;
}

} // namespace

std::optional<HttpMessage> readMessage(int socket, std::string &buffer)
{
    std::size_t end = buffer.find("\r\n\r\n");
    while (end == std::string::npos) {
        if (!receiveMore(socket, buffer)) {
            return std::nullopt;
        }
        end = buffer.find("\r\n\r\n");
    }
    HttpMessage message;
    std::size_t lineStart = buffer.find("\r\n");
    message.firstLine = buffer.substr(0, lineStart);
    while (lineStart < end) {
        const std::size_t lineEnd = buffer.find("\r\n", lineStart + 2);
        const std::string line = buffer.substr(lineStart + 2, lineEnd - lineStart - 2);
        const std::size_t colon = line.find(':');
        std::string name = line.substr(0, colon);
        std::transform(name.begin(), name.end(), name.begin(),
                       [](unsigned char letter) { return std::tolower(letter); });
        const std::size_t value = line.find_first_not_of(' ', colon + 1);
        message.headers[name] = value == std::string::npos ? "" : line.substr(value);
        lineStart = lineEnd;
    }
    buffer.erase(0, end + 4);
    const auto length = message.headers.find("content-length");
    const std::size_t size = length == message.headers.end() ? 0 : std::stoul(length->second);
    while (buffer.size() < size) {
        if (!receiveMore(socket, buffer)) {
            return std::nullopt;
        }
    }
    message.body = buffer.substr(0, size);
    buffer.erase(0, size);
    return message;
}

HttpPort::HttpPort(Handler handler)
    : m_handler(std::move(handler))
{
}

HttpPort::~HttpPort()
{
    close();
}

void HttpPort::open()
{
    m_listener = listenOn(ownIp, m_port, &m_port);
    m_acceptor = std::thread([this, listener = m_listener.load()] { acceptAll(listener); });
}

void HttpPort::close()
{
    const int listener = m_listener.exchange(-1);
    if (listener < 0) {
        return;
    }
    ::shutdown(listener, SHUT_RDWR);
    m_acceptor.join();
    ::close(listener);
    const std::lock_guard lock(m_mutex);
    for (const int socket : m_sockets) {
        ::shutdown(socket, SHUT_RDWR);
    }
}

std::string HttpPort::address() const
{
    return ownIp + ":" + std::to_string(m_port);
}

bool HttpPort::isOpen() const
{
    return m_listener >= 0;
}

void HttpPort::beginEpoch()
{
    ++m_epoch;
}

int HttpPort::epoch() const
{
    return m_epoch;
}

void HttpPort::acceptAll(int listener)
{
    while (m_listener == listener) {
        const int socket = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (socket < 0) {
            continue;
        }
        const int on = 1;
        ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        {
            const std::lock_guard lock(m_mutex);
            m_sockets.insert(socket);
        }
        std::thread([this, socket, epoch = m_epoch.load()] { serve(socket, epoch); }).detach();
    }
}

void HttpPort::serve(int socket, int epoch)
{
    std::string buffer;
    while (auto message = readMessage(socket, buffer)) {
        HttpRequest request = toRequest(std::move(*message));
        request.epoch = epoch;
        const HttpReply reply = m_handler(request);
        if (reply.isDropped) {
            break;
        }
        const std::string text = "HTTP/1.1 " + std::to_string(reply.status)
            + " Status\r\nContent-Type: application/json\r\n" + "Content-Length: " + std::to_string(reply.body.size())
            + "\r\n\r\n" + reply.body;
        if (!sendAll(socket, text)) {
            break;
        }
    }
    const std::lock_guard lock(m_mutex);
    m_sockets.erase(socket);
    ::close(socket);
}

HttpReply callHttp(const std::string &address, const std::string &method, const std::string &target,
                   const std::map<std::string, std::string> &headers, const std::string &body, int timeoutMs)
{
    HttpReply reply;
    reply.status = 0;
    const std::size_t colon = address.rfind(':');
    const sockaddr_in native = socketAddress(address.substr(0, colon), std::stoi(address.substr(colon + 1)));
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    timeval bound { timeoutMs / 1000, timeoutMs % 1000 * 1000 };
    ::setsockopt(socket, SOL_SOCKET, SO_RCVTIMEO, &bound, sizeof(bound));
    ::setsockopt(socket, SOL_SOCKET, SO_SNDTIMEO, &bound, sizeof(bound));
    if (::connect(socket, reinterpret_cast<const sockaddr *>(&native), sizeof(native)) == 0) {
        std::string text = method + ' ' + target + " HTTP/1.1\r\n";
        for (const auto &[name, value] : headers) {
            text += name + ": " + value + "\r\n";
        }
        if (!body.empty()) {
            text += "Content-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n";
        }
        std::string buffer;
        if (sendAll(socket, text + "\r\n" + body)) {
            if (const auto message = readMessage(socket, buffer)) {
                reply.status = std::stoi(message->firstLine.substr(message->firstLine.find(' ') + 1));
                reply.body = message->body;
            }
        }
    }
    ::close(socket);
    return reply;
}

int freePort(const std::string &ip, int from)
{
    for (int port = from; port < from + portsTried; ++port) {
        try {
            int actual = 0;
            ::close(listenOn(ip, port, &actual));
            return port;
        } catch (const std::runtime_error &) {
            continue;
        }
    }
    throw std::runtime_error("no free port at " + ip);
}

std::string encodeBase64(const std::string &bytes)
{
    std::string text;
    for (std::size_t at = 0; at < bytes.size(); at += 3) {
        const std::size_t count = std::min<std::size_t>(3, bytes.size() - at);
        std::uint32_t group = 0;
        for (std::size_t index = 0; index < 3; ++index) {
            group = group << 8U | (index < count ? static_cast<unsigned char>(bytes[at + index]) : 0U);
        }
        for (std::size_t index = 0; index < 4; ++index) {
            text += index <= count ? letters[group >> (18U - 6U * index) & 63U] : '=';
        }
    }
    return text;
}

std::string decodeBase64(const std::string &text)
{
    std::string bytes;
    std::uint32_t group = 0;
    unsigned bits = 0;
    for (const char letter : text) {
        const std::size_t value = letters.find(letter);
        if (value == std::string::npos) {
            break;
        }
        group = group << 6U | static_cast<std::uint32_t>(value);
        bits += 6;
        if (bits >= 8) {
            bits -= 8;
            bytes += static_cast<char>(group >> bits & 255U);
        }
    }
    return bytes;
}

} // namespace review
