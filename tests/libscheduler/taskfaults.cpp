#include "tasksession.h"

#include <algorithm>

namespace currantring {

void TaskSession::cutFromPeers(const HostId &host, bool cut)
{
    for (const HostId &other : m_cluster.hosts()) {
        if (other != host) {
            m_cluster.cutBetween(host, other, cut);
        }
    }
}

WorkerId TaskSession::targetWorker()
{
    if (!m_worker) {
        const StandinRun *run = lastRun(m_moved);
        m_worker = run == nullptr ? WorkerId("w1") : run->worker;
    }
    return *m_worker;
}

/** Cuts all hosts but the writer from the workers that run the two tasks. */
void TaskSession::cutOthersFromWorkers(bool cut)
{
    if (m_othersCutFrom.empty()) {
        m_othersCutFrom.insert(targetWorker());
        if (const StandinRun *run = lastRun(m_cancelled)) {
            m_othersCutFrom.insert(run->worker);
        }
    }
    for (const HostId &host : m_cluster.hosts()) {
        for (const WorkerId &worker : m_othersCutFrom) {
            if (host != m_writer) {
                m_cluster.cutFromWorker(host, worker, cut);
            }
        }
    }
}

/** Cuts the writer and one other host from the store and from the rest, so that both believe in an outage for all. */
void TaskSession::cutWritersSide(bool cut)
{
    const HostId mate(m_writer == HostId("h1") ? "h2" : "h1");
    for (const HostId &host : { m_writer, mate }) {
        m_cluster.cutFromStore(host, cut);
        cutFromPeers(host, cut);
    }
    m_cluster.cutBetween(m_writer, mate, false);
}

/** Each fault is switched on, and off when it is healed. */
const TaskSession::FaultTable &TaskSession::faults()
{
    static const FaultTable table = [] {
        FaultTable all = hostFaults();
        all.merge(platformFaults());
        return all;
    }();
    return table;
}

TaskSession::FaultTable TaskSession::hostFaults()
{
    return {
        { "writer killed",
          [](TaskSession &s, bool on) {
              if (on && std::ranges::count(s.m_cluster.hosts(), s.m_writer) > 0) {
                  s.m_cluster.killHost(s.m_writer);
                  s.m_cluster.addHost();
              }
          } },
        { "writer paused",
          [](TaskSession &s, bool on) {
              if (on) {
                  s.m_cluster.pauseHost(s.m_writer);
                  s.m_paused.push_back(s.m_writer);
              }
          } },
        { "clock step",
          [](TaskSession &s, bool on) {
              s.m_cluster.stepWallClock(s.m_writer, Milliseconds(on ? 10'000 : -10'000));
          } },
        { "writer cut from store",
          [](TaskSession &s, bool on) {
              s.m_cluster.cutFromStore(s.m_writer, on);
          } },
        { "writer cut from peers",
          [](TaskSession &s, bool on) {
              s.cutFromPeers(s.m_writer, on);
          } },
        { "writer cut from worker",
          [](TaskSession &s, bool on) {
              s.m_cluster.cutFromWorker(s.m_writer, s.targetWorker(), on);
          } },
        { "others cut from workers",
          [](TaskSession &s, bool on) {
              s.cutOthersFromWorkers(on);
          } },
        { "writer's side cut off",
          [](TaskSession &s, bool on) {
              s.cutWritersSide(on);
          } },
    };
}

TaskSession::FaultTable TaskSession::platformFaults()
{
    return {
        { "store outage",
          [](TaskSession &s, bool on) {
              s.m_cluster.throwFault({ { "fault", "outage" }, { "on", on } });
          } },
        { "store reply lost",
          [](TaskSession &s, bool on) {
              s.m_cluster.throwFault({ { "fault", "loseReply" }, { "count", on ? 1 : 0 }, { "keyPrefix", "ledger/" } });
          } },
        { "worker reply lost",
          [](TaskSession &s, bool on) {
              s.m_cluster.loseWorkerReplies(on ? 1 : 0);
          } },
        { "worker frozen",
          [](TaskSession &s, bool on) {
              s.m_cluster.throwFault({ { "fault", "freezeWorker" }, { "worker", s.targetWorker() }, { "on", on } });
          } },
        { "leases lapsed",
          [](TaskSession &s, bool on) {
              if (on) {
                  s.m_cluster.throwFault({ { "fault", "lapseLease" }, { "lease", "all" } });
              }
          } },
    };
}

std::vector<std::string> taskFaults()
{
    std::vector<std::string> names;
    for (const auto &[name, fault] : TaskSession::faults()) {
        names.push_back(name);
    }
    return names;
}

} // namespace currantring
