#pragma once

#include "mimosahub/record.h"
#include "mimosahub/verdict.h"

#include <string>
#include <utility>
#include <vector>

namespace mimosahub
{

/// A table's decision on one record; the caller adds the position.
struct Decision {
    Rejection rejection = Rejection::None;
    std::string message;
    std::vector<std::string> problems;

    [[nodiscard]] bool accepted() const
    {
        return rejection == Rejection::None;
    }
};

[[nodiscard]] inline Decision accept()
{
    return {};
}

[[nodiscard]] inline Decision reject(Rejection rejection, std::string message, std::vector<std::string> problems = {})
{
    return {rejection, std::move(message), std::move(problems)};
}

/// Where the record comes from that a table decides on.
struct RecordContext {
    const BatchHeader &header;
    RecordPosition position;
};

} // namespace mimosahub
