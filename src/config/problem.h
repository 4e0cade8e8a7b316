#pragma once

#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace mimosahub
{

/// One error in a document.
struct Problem {
    std::string file; ///< The file, or empty for a record of the log.
    std::string path; ///< Where in the document, for example "profiles.desk.deadline".
    std::string found; ///< What stands there.
    std::string allowed; ///< What may stand there.

    /// "FILE: PATH: found FOUND; allowed: ALLOWED".
    [[nodiscard]] std::string str() const;

    friend bool operator==(const Problem &, const Problem &) = default;
};

/// The lines of \a problems, each ended by a line feed.
[[nodiscard]] std::string problemLines(const std::vector<Problem> &problems);

/// A value that was checked as a whole: either the value or all problems.
template<typename T>
class Checked
{
public:
    /// \a value if \a problems is empty, else the problems.
    Checked(T value, std::vector<Problem> problems) : m_problems(std::move(problems))
    {
        if (m_problems.empty()) {
            m_value = std::move(value);
        }
    }
    /// \a problems must not be empty.
    explicit Checked(std::vector<Problem> problems) : m_problems(std::move(problems))
    {
    }

    [[nodiscard]] bool ok() const
    {
        return m_value.has_value();
    }
    /// Only if ok().
    [[nodiscard]] const T &value() const
    {
        return *m_value;
    }
    [[nodiscard]] const std::vector<Problem> &problems() const
    {
        return m_problems;
    }

private:
    std::optional<T> m_value;
    std::vector<Problem> m_problems;
};

} // namespace mimosahub
