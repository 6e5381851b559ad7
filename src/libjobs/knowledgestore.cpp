#include "knowledgestore.h"

#include "jobevents.h"

namespace currantring {

namespace {

constexpr Milliseconds saveInterval { 4000 };
constexpr Milliseconds callTimeout { 1000 };

} // namespace

KnowledgeStore::KnowledgeStore(StoreLayout layout, WriterToken token, JobContext &context, NeighbourModel &model)
    : m_layout(layout)
    , m_token(token)
    , m_context(context)
    , m_model(model)
{
}

void KnowledgeStore::start()
{
    read();
    scheduleSave();
}

void KnowledgeStore::read()
{
    m_context.callStore(KvGet { m_layout.knowledgeKey() }, callTimeout,
                        m_lifetime.guard([this](const KvResult &result) {
                            const bool isPresent = result && !result->entries.empty();
                            const std::optional<NeighbourKnowledge> known =
                                isPresent ? decodeKnowledge(result->entries.front().value) : std::nullopt;
                            if (known) {
                                m_model.adopt(*known);
                            }
                            m_context.log(LogLevel::Info, events::knowledgeRead,
                                          { { "outcome",
                                              known           ? "adopted"
                                                  : isPresent ? "unreadable"
                                                  : result    ? "absent"
                                                              : "no-answer" },
                                            { "pairs", std::to_string(known ? known->coefficients.size() : 0) } });
                        }));
}

void KnowledgeStore::scheduleSave()
{
    m_context.schedule(saveInterval, m_lifetime.guard([this] {
        save();
        scheduleSave();
    }));
}

void KnowledgeStore::save()
{
    if (m_model.knowledge() == m_saved) {
        return;
    }
    m_saved = m_model.knowledge();
    KvCommit commit;
    commit.conditions = { { m_layout.claimKey(), StoreRevision(m_token.value()) } };
    commit.puts = { { m_layout.knowledgeKey(), encodeKnowledge(m_saved), std::nullopt } };
    m_context.callStore(std::move(commit), callTimeout, m_lifetime.guard([this](const KvResult &result) {
        if (!result) {
            // Forces another save at the next interval.
            m_saved = {};
        }
    }));
}

} // namespace currantring
