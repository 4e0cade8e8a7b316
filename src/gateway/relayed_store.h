#pragma once

#include "follow/document_watch.h"
#include "follow/table_relay.h"
#include "gateway/document_reader.h"

#include <boost/asio/io_context.hpp>

#include <map>
#include <memory>
#include <string>

namespace mimosahub
{

struct RelayedStoreOptions {
    Duration longestAge{}; ///< Of another daemon's answer; an older one is no answer.
    Duration interval{}; ///< Between two reads that come from other daemons, or are made for them.
    Duration patience = std::chrono::milliseconds(400); ///< With another daemon.
    DocumentWatchOptions documents = {}; ///< Of reads of the operators' documents.
};

/// Reads the endpoints' table from the daemon that relays it, as long as that one's
/// answers are fresh, and all else from the store. How long a read of operators' documents
/// waits, DocumentWatch decides; the caller's wait is not used for them. What comes from the store is
/// offered to others, without the records that only show that an endpoint lives.
/// Control thread only.
class RelayedStore : public KeyedStore
{
public:
    /// All arguments must outlive the store; \a asker may be used until then.
    RelayedStore(boost::asio::io_context &io, const Clock &clock, std::unique_ptr<KeyedStore> store,
                 const DocumentReader &documents, TableQueryClient &asker, TableRelay &relay,
                 const RelayedStoreOptions &options);

    http::Awaitable<absl::StatusOr<KeyedPage>> newest(StoreTable table, std::string afterKey) override;
    http::Awaitable<KeyedReadResult> read(StoreTable table, StoreOffset from, Duration wait) override;
    http::Awaitable<AppendResult> append(StoreTable table, std::string key, std::optional<std::string> value,
                                         std::optional<StoreOffset> expectedEnd) override;

    /// This daemon has read the operators' documents up to \a next, as other daemons may hear.
    void setDocumentOffset(StoreOffset next)
    {
        m_relay.setDocumentOffset(next);
    }
    /// Whether the read of documents from \a next on is to be repeated, as of DocumentWatch::isLost().
    [[nodiscard]] bool documentsMissing(StoreOffset next)
    {
        return m_documentWatch.isLost(next, m_clock.now());
    }

private:
    /// Forgets the entries of an earlier era: in a new one, each that is written again is news.
    void noteEra(StoreEra era);
    http::Awaitable<std::optional<TableAnswer>> askOther(StoreTable table, StoreOffset from);
    /// Remembers what \a record says; false if that is no news.
    bool note(const KeyedRecord &record);

    boost::asio::io_context &m_io;
    const Clock &m_clock;
    std::unique_ptr<KeyedStore> m_store;
    const DocumentReader &m_documents;
    TableQueryClient &m_asker;
    TableRelay &m_relay;
    RelayedStoreOptions m_options;
    DocumentWatch m_documentWatch;
    StoreEra m_era; ///< Of the endpoints' table.
    std::map<std::string, ListedEndpoint> m_known; ///< By key, but for the number of the entry.
};

} // namespace mimosahub
