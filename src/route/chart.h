#pragma once

#include "config/configuration_codec.h"

#include <absl/status/statusor.h>

#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <vector>

/// State charts kept in files (JSON with comments), so that on-call staff can read the
/// same state machine that the code runs.
namespace mimosahub
{

/// The names that a chart may use. A chart refers to them by name; the code refers to
/// them by index, which is the value of the matching enumerator.
struct ChartVocabulary {
    std::vector<std::string> states; ///< The chart must declare exactly these.
    std::vector<std::string> events;
    std::vector<std::string> guards;
    std::vector<std::string> actions;
};

/// A validated, immutable chart. Instances refer to it, so it must outlive them.
class Chart
{
public:
    /// Effect of one event in one state.
    struct Transition {
        std::size_t event = 0;
        std::size_t guard = kNoGuard; ///< kNoGuard: taken if no guarded transition on the same event is.
        std::size_t to = 0;
        std::vector<std::size_t> actions; ///< Run in this order.
    };
    static constexpr std::size_t kNoGuard = static_cast<std::size_t>(-1);

    /// Parses and validates the chart in \a text. Appends all errors found to
    /// \a problems, with \a file as their file.
    static absl::StatusOr<Chart> parse(std::string_view text, std::string_view file, const ChartVocabulary &vocabulary,
                                       std::vector<Problem> &problems);
    /// Like parse(), with the text read from \a path.
    static absl::StatusOr<Chart> load(const std::string &path, const ChartVocabulary &vocabulary,
                                      std::vector<Problem> &problems);

    [[nodiscard]] std::size_t initial() const
    {
        return m_initial;
    }
    /// Transitions out of \a state, guarded ones first.
    [[nodiscard]] std::span<const Transition> transitions(std::size_t state) const
    {
        return m_transitions[state];
    }
    [[nodiscard]] const std::string &stateName(std::size_t state) const
    {
        return m_stateNames[state];
    }

private:
    Chart() = default;

    std::size_t m_initial = 0;
    std::vector<std::string> m_stateNames;
    std::vector<std::vector<Transition>> m_transitions; ///< Indexed by state.
};

/// Evaluates guards for a chart instance, without side effects.
class ChartGuards
{
public:
    virtual ~ChartGuards() = default;
    [[nodiscard]] virtual bool holds(std::size_t guard) const = 0;
};

/// A running state machine: a reference to its chart and the current state.
class ChartInstance
{
public:
    explicit ChartInstance(const Chart &chart) : m_chart(&chart), m_state(chart.initial())
    {
    }

    [[nodiscard]] std::size_t state() const
    {
        return m_state;
    }
    [[nodiscard]] const std::string &stateName() const
    {
        return m_chart->stateName(m_state);
    }
    /// Takes the transition for \a event, if there is one whose guard holds,
    /// and returns it; the caller runs its actions. Returns null otherwise.
    const Chart::Transition *fire(std::size_t event, const ChartGuards &guards);

private:
    const Chart *m_chart;
    std::size_t m_state;
};

} // namespace mimosahub
