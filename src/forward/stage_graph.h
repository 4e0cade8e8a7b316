#pragma once

#include "forward/gateway_configuration.h"
#include "forward/piece.h"

#include <vector>

namespace mimosahub
{

/// The dependency graph of the stages of one request: which stages can begin, and
/// which results each needs. A stage without pieces counts as complete from the start.
class StageGraph
{
public:
    /// \a pieces holds the number of pieces of each of \a stages; missing entries count as 0.
    StageGraph(const std::vector<StageRule> &stages, const std::vector<int> &pieces);

    /// Stages that can begin now and have not been returned before.
    [[nodiscard]] std::vector<std::size_t> takeReady();
    /// Records that all pieces of \a stage are done; \a results are in the order of the pieces.
    void complete(std::size_t stage, std::vector<ResultHandle> results);
    /// Whether all stages are complete.
    [[nodiscard]] bool done() const;

    [[nodiscard]] int piecesOf(std::size_t stage) const
    {
        return m_nodes[stage].pieces;
    }
    /// Results of \a stage; empty until it is complete.
    [[nodiscard]] const std::vector<ResultHandle> &resultsOf(std::size_t stage) const
    {
        return m_nodes[stage].results;
    }
    /// Whether no other stage needs the results of \a stage.
    [[nodiscard]] bool isLast(std::size_t stage) const
    {
        return m_nodes[stage].successors.empty();
    }
    /// All results of the stages on which \a stage depends.
    [[nodiscard]] std::vector<ResultHandle> inputsOf(std::size_t stage) const;
    /// All results of the stages on which no other stage depends.
    [[nodiscard]] std::vector<ResultHandle> finalInputs() const;
    /// Stages whose results are no longer needed, each returned once: those whose
    /// successors are all complete.
    [[nodiscard]] std::vector<std::size_t> takeReleasable();
    /// The stages on the longest path of incomplete stages from \a stage to the end,
    /// without \a stage itself.
    [[nodiscard]] std::vector<std::size_t> longestRemainingPath(std::size_t stage) const;

private:
    struct Node {
        std::vector<std::size_t> after;
        std::vector<std::size_t> successors; ///< Stages with pieces that need this one's results.
        int pieces = 0;
        bool started = false;
        bool complete = false;
        bool releasable = false; ///< It was returned by takeReleasable().
        std::vector<ResultHandle> results;
    };

    [[nodiscard]] bool mayBegin(const Node &node) const;

    std::vector<Node> m_nodes;
};

} // namespace mimosahub
