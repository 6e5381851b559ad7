#pragma once

#include "jobcontext.h"
#include "lifetime.h"
#include "neighbourmodel.h"
#include "storelayout.h"

namespace currantring {

/**
 * Keeps what was learnt of neighbours in the store, so that the next writer needn't begin with guesses.
 *
 * Nothing depends on it but quality: a lost write or an unreadable entry costs the lesson. Thread safety: one thread at
 * a time.
 */
class KnowledgeKeeper
{
public:
    /** Precondition: @p context and @p model outlive the object. */
    KnowledgeKeeper(StoreLayout layout, WriterToken token, JobContext &context, NeighbourModel &model);

    /** Reads what the former writer knew, and begins to write. */
    void start();

private:
    void read();
    void saveLater();
    void save();

    StoreLayout m_layout;
    WriterToken m_token;
    JobContext &m_context;
    NeighbourModel &m_model;
    Lifetime m_lifetime;
    NeighbourKnowledge m_saved;
};

} // namespace currantring
