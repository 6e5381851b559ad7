#pragma once

#include "jobcontext.h"
#include "lifetime.h"
#include "neighbourmodel.h"
#include "storelayout.h"

namespace currantring {

/**
 * Persists the learnt coefficients of the neighbour model in the store, so that a new writer needn't start from
 * defaults.
 *
 * Only the quality of placement depends on it: a lost write or an unreadable entry loses learnt coefficients, nothing
 * else. Thread safety: one thread at a time.
 */
class KnowledgeStore
{
public:
    /** Precondition: @p context and @p model outlive the object. */
    KnowledgeStore(StoreLayout layout, WriterToken token, JobContext &context, NeighbourModel &model);

    /** Reads the previous writer's knowledge and starts to save periodically. */
    void start();

private:
    void read();
    void scheduleSave();
    void save();

    StoreLayout m_layout;
    WriterToken m_token;
    JobContext &m_context;
    NeighbourModel &m_model;
    Lifetime m_lifetime;
    NeighbourKnowledge m_saved;
};

} // namespace currantring
