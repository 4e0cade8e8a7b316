#pragma once

#include "base/metrics.h"
#include "follow/keyed_store.h"

#include <absl/status/status.h>

#include <map>
#include <string>
#include <utility>

namespace mimosahub
{

/// The store's documents that could not be read. Each one is counted; a line is
/// logged when a key becomes unreadable or for another reason than before, not for
/// each repetition. Control thread only.
class UnreadableDocuments
{
public:
    /// \a metrics must outlive this object.
    explicit UnreadableDocuments(MetricRegistry &metrics);

    /// The document of \a key can't be read, for the reason in \a status.
    void add(StoreTable table, const std::string &key, const absl::Status &status);
    /// The document of \a key was read or is gone.
    void remove(StoreTable table, const std::string &key);

private:
    std::map<std::pair<StoreTable, std::string>, absl::Status> m_reasons;
    Counter &m_count;
};

} // namespace mimosahub
