#include "gateway/unreadable_documents.h"

#include "base/log.h"
#include "follow/keyed_table.h"

namespace mimosahub
{

UnreadableDocuments::UnreadableDocuments(MetricRegistry &metrics)
    : m_count(metrics.counter("mimosahub_store_documents_unreadable_total", "Documents that could not be read."))
{
}

void UnreadableDocuments::add(StoreTable table, const std::string &key, const absl::Status &status)
{
    m_count.add();
    const auto [it, isNew] = m_reasons.try_emplace({table, key}, status);
    if (!isNew && it->second == status) {
        return;
    }
    it->second = status;
    logEvent(LogLevel::Warning, "document-unreadable")
        .with("table", storeTableName(table))
        .with("key", key)
        .with(status);
}

void UnreadableDocuments::remove(StoreTable table, const std::string &key)
{
    m_reasons.erase({table, key});
}

} // namespace mimosahub
