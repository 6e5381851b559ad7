#include "virtualsite_p.h"

#include <utility>

namespace currantring {

namespace {

constexpr Milliseconds removalDelay { 100 };
/** How long after its silence a worker's entry is removed. */
constexpr Milliseconds listSilence { 3300 };

} // namespace

void VirtualSite::killHost(const HostId &id)
{
    Host &host = find(id);
    host.isAlive = false;
    for (const auto &other : m_hosts) {
        if (other->isAlive && other->links.contains(id) && !m_hostCuts.contains({ other->id, id })) {
            at(m_now + latency(), [this, peer = other.get(), process = other->process, id] {
                deliver(*peer, process, [peer, id] { peer->node->handleLinkLost(id); });
            });
        }
    }
}

void VirtualSite::restartHost(const HostId &id)
{
    startProcess(find(id));
}

void VirtualSite::pauseHost(const HostId &id)
{
    find(id).isPaused = true;
}

void VirtualSite::resumeHost(const HostId &id)
{
    Host &host = find(id);
    host.isPaused = false;
    emptyInbox(host);
}

void VirtualSite::emptyInbox(Host &host)
{
    std::vector<std::function<void()>> inbox;
    inbox.swap(host.inbox);
    for (std::function<void()> &body : inbox) {
        deliver(host, host.process, std::move(body));
    }
}

void VirtualSite::starveHost(const HostId &id, Milliseconds round)
{
    Host &host = find(id);
    host.round = round;
    if (round.count() == 0) {
        emptyInbox(host);
        return;
    }
    at(m_now + round, [this, &host, process = host.process] { playRound(host, process); });
}

void VirtualSite::playRound(Host &host, std::uint64_t process)
{
    if (!host.isAlive || host.process != process || host.round.count() == 0) {
        return;
    }
    const TimePoint wokenAt = m_now - host.round;
    host.context->setTime(wokenAt, wallOn(host, wokenAt));
    std::vector<std::function<void()>> inbox;
    inbox.swap(host.inbox);
    for (const std::function<void()> &body : inbox) {
        body();
    }
    host.context->advance(host.context->now(), wallOn(host, wokenAt));
    at(m_now + host.round, [this, &host, process] { playRound(host, process); });
}

void VirtualSite::stopHost(const HostId &id)
{
    Host &host = find(id);
    deliver(host, host.process, [this, &host] {
        host.node->stop([this, &host, process = host.process] {
            at(m_now + removalDelay, [this, &host, process] {
                if (host.process == process && host.isAlive) {
                    killHost(host.id);
                }
            });
        });
    });
}

void VirtualSite::stepWallClock(const HostId &host, Milliseconds by)
{
    find(host).wallOffset += by;
}

void VirtualSite::troubleStore(const HostId &host, StoreTrouble trouble)
{
    find(host).storeTrouble = trouble;
}

void VirtualSite::slowStore(Milliseconds perCall)
{
    m_storeDelay = perCall;
}

void VirtualSite::loseStoreReplies(double probability)
{
    m_lostReplies = probability;
}

void VirtualSite::cutHosts(const HostId &left, const HostId &right, bool isCut)
{
    for (const auto &pair : { std::pair(left, right), std::pair(right, left) }) {
        if (isCut) {
            m_hostCuts.insert(pair);
        } else {
            m_hostCuts.erase(pair);
        }
    }
}

void VirtualSite::cutWorker(const HostId &host, const WorkerId &worker, bool isCut)
{
    if (isCut) {
        m_workerCuts.emplace(host, worker);
    } else {
        m_workerCuts.erase({ host, worker });
    }
}

void VirtualSite::cutWorkerFromAll(const WorkerId &worker, bool isCut)
{
    for (const auto &host : m_hosts) {
        cutWorker(host->id, worker, isCut);
    }
}

void VirtualSite::crashWorker(const WorkerId &worker, bool isSilent)
{
    Place &there = place(worker);
    there.worker->restart(m_now);
    there.isDown = true;
    there.isSilent = isSilent;
    std::erase_if(m_holds, [&worker](const Hold &hold) { return hold.worker == worker; });
    for (auto &[host, channel] : there.channels) {
        ++channel;
    }
    at(m_now + listSilence, [this, worker] {
        if (place(worker).isDown) {
            listWorker(worker, false);
        }
    });
}

void VirtualSite::restartWorker(const WorkerId &worker)
{
    Place &there = place(worker);
    there.isDown = false;
    m_judge.noteWorker(there.worker->entry());
    listWorker(worker, true);
}

void VirtualSite::applyOrdersLate(double probability)
{
    m_lateOrders = probability;
}

void VirtualSite::loseOrderAnswers(double probability)
{
    m_lostOrderAnswers = probability;
}

void VirtualSite::listWorker(const WorkerId &worker, bool isListed)
{
    if (isListed) {
        m_store.put(virtualWorkerPrefix + worker.value(), "listed");
    } else {
        m_store.remove(virtualWorkerPrefix + worker.value());
    }
}

void VirtualSite::drainWorker(const WorkerId &worker)
{
    place(worker).worker->setStanding(WorkerStanding::Draining);
    listWorker(worker, true);
}

void VirtualSite::configure(const SiteConfiguration &configuration)
{
    m_configuration = configuration;
    m_judge.noteConfiguration(configuration);
    m_store.put(virtualConfigurationKey, std::to_string(configuration.version.value()));
}

} // namespace currantring
