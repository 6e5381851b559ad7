#pragma once

#include "ids.h"
#include "thread.h"

#include <atomic>
#include <string>
#include <vector>

namespace currantring {

/** What a scripted server does on one connection. */
struct ScriptedConnection
{
    /** Sent in answer to each request of the connection in turn. */
    std::vector<std::string> answers;
    /** Whether the connection stays open and silent after the last answer. */
    bool staysOpen = false;
};

/** A server that says on each connection in turn exactly what it is told. Requests must have no body. */
class ScriptedServer
{
public:
    explicit ScriptedServer(std::vector<ScriptedConnection> script);
    ~ScriptedServer();
    ScriptedServer(const ScriptedServer &) = delete;
    ScriptedServer &operator=(const ScriptedServer &) = delete;

    [[nodiscard]] Address address() const;
    /** Connections that were accepted. */
    [[nodiscard]] int accepted() const;
    [[nodiscard]] int requests() const;
    /** Answers that are wholly with the system. */
    [[nodiscard]] int answered() const;

private:
    void run();
    void serve(int socket, const ScriptedConnection &connection);

    std::vector<ScriptedConnection> m_script;
    int m_listener;
    std::vector<int> m_held;
    std::atomic<int> m_accepted = 0;
    std::atomic<int> m_requests = 0;
    std::atomic<int> m_answered = 0;
    Thread m_thread;
};

} // namespace currantring
