#pragma once

#include "standinhttpserver.h"
#include "standinsite.h"

namespace currantring {

/** The port of one worker: its agent and its endpoint. Thread safety: as StandinHttpServer. */
class StandinWorkerPort
{
public:
    /** Precondition: @p site outlives the port. */
    StandinWorkerPort(StandinSite &site, WorkerId worker, std::size_t connectionLimit);

    StandinHttpServer &server();
    [[nodiscard]] const WorkerId &worker() const;

private:
    void command(const std::string &name, const httplib::Request &request, httplib::Response &response);
    void serve(const httplib::Request &request, httplib::Response &response);

    StandinSite &m_site;
    WorkerId m_worker;
    StandinHttpServer m_server;
};

} // namespace currantring
