#include "virtualsite_p.h"

#include <utility>

namespace currantring {

namespace {

constexpr Milliseconds exitDelay { 100 };
/** Time after a worker's crash at which its entry is removed from the store. */
constexpr Milliseconds entryRemovalDelay { 3300 };

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
    host.disturbedAt = m_now;
    processInbox(host);
}

void VirtualSite::resumeHostInRandomOrder(const HostId &id)
{
    Host &host = find(id);
    for (std::size_t left = host.inbox.size(); left > 1; --left) {
        std::swap(host.inbox[left - 1], host.inbox[uniformBelow(m_random, left)]);
    }
    const bool areTimersFirst = uniformBelow(m_random, 2) == 0;
    if (areTimersFirst) {
        host.context->advance(m_now, wallOn(host, m_now));
    }
    resumeHost(id);
}

void VirtualSite::processInbox(Host &host)
{
    std::vector<std::function<void()>> inbox;
    inbox.swap(host.inbox);
    for (std::function<void()> &body : inbox) {
        deliver(host, host.process, std::move(body));
    }
}

void VirtualSite::throttleHost(const HostId &id, Milliseconds period)
{
    Host &host = find(id);
    host.throttlePeriod = period;
    if (period.count() == 0) {
        host.disturbedAt = m_now;
        processInbox(host);
        return;
    }
    at(m_now + period, [this, &host, process = host.process] { runThrottlePeriod(host, process); });
}

void VirtualSite::runThrottlePeriod(Host &host, std::uint64_t process)
{
    if (!host.isAlive || host.process != process || host.throttlePeriod.count() == 0) {
        return;
    }
    const TimePoint wokenAt = m_now - host.throttlePeriod;
    host.context->setTime(wokenAt, wallOn(host, wokenAt));
    std::vector<std::function<void()>> inbox;
    inbox.swap(host.inbox);
    for (const std::function<void()> &body : inbox) {
        body();
    }
    host.context->advance(host.context->now(), wallOn(host, wokenAt));
    at(m_now + host.throttlePeriod, [this, &host, process] { runThrottlePeriod(host, process); });
}

void VirtualSite::stopHost(const HostId &id)
{
    Host &host = find(id);
    deliver(host, host.process, [this, &host] {
        host.node->stop([this, &host, process = host.process] {
            at(m_now + exitDelay, [this, &host, process] {
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

void VirtualSite::setStoreFault(const HostId &id, StoreFault fault)
{
    Host &host = find(id);
    host.storeFault = fault;
    host.disturbedAt = m_now;
    if (fault != StoreFault::Holding) {
        std::vector<std::function<void()>> held;
        held.swap(host.heldCalls);
        for (std::function<void()> &call : held) {
            at(m_now + latency(), std::move(call));
        }
    }
}

void VirtualSite::failAfterPlacement(const HostId &host, PlacementFault fault,
                                     std::function<void(const WorkerId &)> then)
{
    find(host).placementFault = { fault, std::move(then) };
}

void VirtualSite::pauseAfterNextClaim(std::function<void(const HostId &)> then)
{
    m_onNextClaim = std::move(then);
}

void VirtualSite::setStoreDelay(Milliseconds perCall)
{
    m_storeDelay = perCall;
    m_storeDelayChangedAt = m_now;
}

void VirtualSite::setWatchesDeaf(bool areDeaf)
{
    m_areWatchesDeaf = areDeaf;
}

void VirtualSite::cutWatches()
{
    std::vector<PendingWatch> cut;
    cut.swap(m_pendingWatches);
    for (const PendingWatch &watch : cut) {
        at(m_now + latency(), [reply = watch.reply] { reply(tl::unexpected(KvError { KvErrorKind::Unknown, {} })); });
    }
}

void VirtualSite::dropWatches()
{
    for (const PendingWatch &watch : m_pendingWatches) {
        *watch.isDropped = true;
    }
    m_pendingWatches.clear();
}

void VirtualSite::loseStoreReplies(double probability)
{
    m_storeReplyLoss = probability;
}

void VirtualSite::silencePrefix(const std::string &prefix, bool isSilent)
{
    if (isSilent) {
        m_silentPrefixes.insert(prefix);
    } else {
        m_silentPrefixes.erase(prefix);
    }
}

void VirtualSite::partitionHosts(const HostId &left, const HostId &right, bool isPartitioned)
{
    for (const auto &pair : { std::pair(left, right), std::pair(right, left) }) {
        if (isPartitioned) {
            m_hostCuts.insert(pair);
        } else {
            m_hostCuts.erase(pair);
        }
    }
}

void VirtualSite::partitionWorker(const HostId &host, const WorkerId &worker, bool isPartitioned)
{
    if (isPartitioned) {
        m_workerCuts.emplace(host, worker);
    } else {
        m_workerCuts.erase({ host, worker });
    }
}

void VirtualSite::isolateWorker(const WorkerId &worker, bool isPartitioned)
{
    for (const auto &host : m_hosts) {
        partitionWorker(host->id, worker, isPartitioned);
    }
}

void VirtualSite::crashWorker(const WorkerId &worker, bool isSilent)
{
    WorkerNode &node = workerNode(worker);
    node.worker->restart(m_now);
    node.isDown = true;
    node.isSilent = isSilent;
    std::erase_if(m_heldPolls, [&worker](const HeldPoll &poll) { return poll.worker == worker; });
    for (auto &[host, channel] : node.channels) {
        ++channel;
    }
    at(m_now + entryRemovalDelay, [this, worker] {
        if (workerNode(worker).isDown) {
            listWorker(worker, false);
        }
    });
}

void VirtualSite::restartWorker(const WorkerId &worker)
{
    WorkerNode &node = workerNode(worker);
    node.isDown = false;
    m_judge.noteWorker(node.worker->entry());
    listWorker(worker, true);
}

void VirtualSite::applyOrdersLate(double probability)
{
    m_lateOrderProbability = probability;
}

void VirtualSite::loseOrderAnswers(double probability)
{
    m_orderAnswerLoss = probability;
}

void VirtualSite::evacuate(const DataCentreId &dataCentre, bool isEvacuated)
{
    m_judge.noteEvacuation(dataCentre, isEvacuated, m_now);
    if (isEvacuated) {
        m_store.put(virtualEvacuationPrefix + dataCentre.value(), "{}");
    } else {
        m_store.remove(virtualEvacuationPrefix + dataCentre.value());
    }
}

void VirtualSite::listWorker(const WorkerId &worker, bool isListed)
{
    if (isListed) {
        m_store.put(virtualWorkerPrefix + worker.value(), "listed");
    } else {
        m_store.remove(virtualWorkerPrefix + worker.value());
    }
}

void VirtualSite::drainWorker(const WorkerId &worker, Milliseconds remaining)
{
    workerNode(worker).worker->setDraining(remaining);
    listWorker(worker, true);
}

void VirtualSite::deliverMessage(const HostId &to, const HostId &from, const JobMessage &message)
{
    Host &receiver = find(to);
    deliver(receiver, receiver.process, [&receiver, from, message] { receiver.node->handlePeer(from, message); });
}

void VirtualSite::configure(const SiteConfiguration &configuration)
{
    m_configuration = configuration;
    m_judge.noteConfiguration(configuration, m_now);
    m_store.put(virtualConfigurationKey, std::to_string(configuration.version.value()));
}

} // namespace currantring
