#pragma once

#include "httpfront.h"
#include "logevent.h"
#include "node.h"
#include "outsidecalls.h"
#include "settings.h"

#include <string>
#include <vector>

namespace currantring {

/** All settings of currantringd. Thread safety: reentrant. */
const std::vector<OptionSpec> &daemonOptions();

/** The checked settings in the form in which the daemon's parts take them. */
struct DaemonSettings
{
    NodeOptions node;
    HttpFront::Options http;
    Address store;
    CallPool::Limits storeCalls;
    CallPool::Limits watchCalls;
    CallPool::Limits workerCalls;
    CallPool::Limits endpointCalls;
    /** Connections to one endpoint; a worker takes 64 in all. */
    std::size_t endpointConnections = 0;
    std::size_t queuedPeerMessages = 0;
    LogLevel logLevel = LogLevel::Info;
    std::string chartsDirectory;
};

/** Precondition: @p settings was read with daemonOptions() and Outcome::Run. Adds to @p findings what it can't use. */
DaemonSettings readDaemonSettings(const Settings &settings, Findings &findings);

} // namespace currantring
