#pragma once

#include "decisionloop.h"
#include "metrics.h"
#include "outsidecalls.h"
#include "replyboard.h"

namespace currantring {

/**
 * Carries out what the decision code asks for, and posts the completions back to the loop.
 *
 * A call for which its pool has no room is completed as not sent. Thread safety: run from the loop thread.
 */
class ActionRunner
{
public:
    /** What the runner acts through; all must outlive it and the jobs in the pools. */
    struct Parts
    {
        OutsideCalls calls;
        PeerLinks peers;
        CallPools &pools;
        ReplyBoard &replies;
        Metrics &metrics;
        /** Adds a completion to the loop; may be called from any thread. */
        std::function<void(Input)> post;
    };

    explicit ActionRunner(Parts parts);

    /** Starts or does what @p action says; never waits. */
    void run(Action &action);

private:
    void carryOut(StoreCallAction &action);
    void carryOut(WorkerCallAction &action);
    void carryOut(EndpointCallAction &action);
    void carryOut(PeerSendAction &action);
    void carryOut(PeerLinkAction &action);
    void carryOut(CallerReplyAction &action);
    void carryOut(LogAction &action);
    void carryOut(ObserveAction &action);
    void carryOut(CountAction &action);
    void carryOut(ExitAction &action);

    Parts m_parts;
};

} // namespace currantring
