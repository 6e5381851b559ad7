#pragma once

#include "standinhttpserver.h"
#include "standinsite.h"

#include <functional>

namespace currantring {

/** The port of the key-value service, the host list and the faults. Thread safety: as StandinHttpServer. */
class StandinStorePort
{
public:
    /** @p silenceAll silences the connections of all ports. Precondition: @p site outlives the port. */
    StandinStorePort(StandinSite &site, std::size_t connectionLimit, std::function<void()> silenceAll);

    StandinHttpServer &server();

private:
    void addEntryRoutes();
    void addLeaseRoutes();
    void addTestRoutes();
    void answer(const StoreRequest &request, httplib::Response &response);
    void deliverCall(const StandinStoreCall &call, httplib::Response &response, bool absentIsError);
    void putEntry(const httplib::Request &request, httplib::Response &response);
    void watch(const httplib::Request &request, httplib::Response &response);
    void throwFault(const httplib::Request &request, httplib::Response &response);

    StandinSite &m_site;
    std::function<void()> m_silenceAll;
    StandinHttpServer m_server;
};

} // namespace currantring
