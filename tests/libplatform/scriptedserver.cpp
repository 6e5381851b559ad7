#include "scriptedserver.h"

#include <stdexcept>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace currantring {

namespace {

bool receiveRequest(int socket)
{
    std::string received;
    char byte = 0;
    while (!received.ends_with("\r\n\r\n")) {
        if (recv(socket, &byte, 1, 0) != 1) {
            return false;
        }
        received += byte;
    }
    return true;
}

} // namespace

ScriptedServer::ScriptedServer(std::vector<ScriptedConnection> script)
    : m_script(std::move(script))
    , m_listener(::socket(AF_INET, SOCK_STREAM, 0))
{
    sockaddr_in local {};
    local.sin_family = AF_INET;
    local.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (bind(m_listener, reinterpret_cast<const sockaddr *>(&local), sizeof(local)) != 0
        || listen(m_listener, 16) != 0) {
        throw std::runtime_error("can't listen");
    }
    m_thread = Thread("scripted", [this] { run(); });
}

ScriptedServer::~ScriptedServer()
{
    shutdown(m_listener, SHUT_RDWR);
    m_thread.join();
    close(m_listener);
    for (const int socket : m_held) {
        close(socket);
    }
}

Address ScriptedServer::address() const
{
    sockaddr_in local {};
    socklen_t size = sizeof(local);
    getsockname(m_listener, reinterpret_cast<sockaddr *>(&local), &size);
    return Address("127.0.0.1:" + std::to_string(ntohs(local.sin_port)));
}

int ScriptedServer::accepted() const
{
    return m_accepted;
}

int ScriptedServer::requests() const
{
    return m_requests;
}

int ScriptedServer::answered() const
{
    return m_answered;
}

void ScriptedServer::run()
{
    for (const ScriptedConnection &connection : m_script) {
        const int socket = accept(m_listener, nullptr, nullptr);
        if (socket < 0) {
            return;
        }
        ++m_accepted;
        serve(socket, connection);
    }
}

void ScriptedServer::serve(int socket, const ScriptedConnection &connection)
{
    for (const std::string &answer : connection.answers) {
        if (!receiveRequest(socket)) {
            break;
        }
        ++m_requests;
        send(socket, answer.data(), answer.size(), MSG_NOSIGNAL);
        ++m_answered;
    }
    if (connection.staysOpen) {
        m_held.push_back(socket);
    } else {
        close(socket);
    }
}

} // namespace currantring
