#pragma once

#include "forward/gateway_configuration.h"
#include "forward/piece.h"

#include <vector>

namespace mimosahub
{

/// The stages of one request: which can begin, and which results each needs.
/// A stage with no pieces counts as complete from the start.
class StageGraph
{
public:
    /// \a pieces gives the number of pieces of each of \a stages; missing ones are 0.
    StageGraph(const std::vector<StageRule> &stages, const std::vector<int> &pieces);

    /// Stages that can begin now and haven't.
    [[nodiscard]] std::vector<std::size_t> takeReady();
    /// All pieces of \a stage are done; \a results are in their order.
    void complete(std::size_t stage, std::vector<ResultHandle> results);
    /// All stages are complete.
    [[nodiscard]] bool done() const;

    [[nodiscard]] int piecesOf(std::size_t stage) const
    {
        return m_nodes[stage].pieces;
    }
    /// Results of \a stage; none until it is complete.
    [[nodiscard]] const std::vector<ResultHandle> &resultsOf(std::size_t stage) const
    {
        return m_nodes[stage].results;
    }
    /// No other stage needs its results.
    [[nodiscard]] bool isLast(std::size_t stage) const
    {
        return m_nodes[stage].successors.empty();
    }
    /// All results of the stages that \a stage follows.
    [[nodiscard]] std::vector<ResultHandle> inputsOf(std::size_t stage) const;
    /// All results of the stages that no other stage follows.
    [[nodiscard]] std::vector<ResultHandle> finalInputs() const;
    /// Stages whose results nothing needs any more, each given once: those whose
    /// followers are all complete.
    [[nodiscard]] std::vector<std::size_t> takeReleasable();
    /// The stages, each once, on the longest path of incomplete stages from \a stage
    /// to the end, without \a stage itself.
    [[nodiscard]] std::vector<std::size_t> longestRemainingPath(std::size_t stage) const;

private:
    struct Node {
        std::vector<std::size_t> after;
        std::vector<std::size_t> successors; ///< Stages with pieces that need this one's results.
        int pieces = 0;
        bool started = false;
        bool complete = false;
        bool releasable = false; ///< It was given by takeSpent().
        std::vector<ResultHandle> results;
    };

    [[nodiscard]] bool mayBegin(const Node &node) const;

    std::vector<Node> m_nodes;
};

} // namespace mimosahub
