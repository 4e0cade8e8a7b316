// A request has few stages, so every query iterates over all of them.

#include "forward/stage_graph.h"

#include <algorithm>

namespace mimosahub
{

StageGraph::StageGraph(const std::vector<StageRule> &stages, const std::vector<int> &pieces) : m_nodes(stages.size())
{
    for (std::size_t i = 0; i < stages.size(); ++i) {
        auto &node = m_nodes[i];
        node.after = stages[i].after;
        node.pieces = i < pieces.size() ? pieces[i] : 0;
        node.started = node.pieces == 0;
        node.complete = node.pieces == 0;
        node.releasable = node.pieces == 0;
        if (node.pieces == 0) {
            continue;
        }
        for (const auto before : node.after) {
            m_nodes[before].successors.push_back(i);
        }
    }
}

bool StageGraph::mayBegin(const Node &node) const
{
    return std::all_of(node.after.begin(), node.after.end(), [&](auto i) { return m_nodes[i].complete; });
}

std::vector<std::size_t> StageGraph::takeReady()
{
    std::vector<std::size_t> ready;
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
        auto &node = m_nodes[i];
        if (!node.started && mayBegin(node)) {
            node.started = true;
            ready.push_back(i);
        }
    }
    return ready;
}

void StageGraph::complete(std::size_t stage, std::vector<ResultHandle> results)
{
    m_nodes[stage].complete = true;
    m_nodes[stage].results = std::move(results);
}

bool StageGraph::done() const
{
    return std::all_of(m_nodes.begin(), m_nodes.end(), [](const auto &node) { return node.complete; });
}

std::vector<ResultHandle> StageGraph::inputsOf(std::size_t stage) const
{
    std::vector<ResultHandle> inputs;
    for (const auto before : m_nodes[stage].after) {
        const auto &results = m_nodes[before].results;
        inputs.insert(inputs.end(), results.begin(), results.end());
    }
    return inputs;
}

std::vector<ResultHandle> StageGraph::finalInputs() const
{
    std::vector<ResultHandle> inputs;
    for (const auto &node : m_nodes) {
        if (node.successors.empty()) {
            inputs.insert(inputs.end(), node.results.begin(), node.results.end());
        }
    }
    return inputs;
}

std::vector<std::size_t> StageGraph::takeReleasable()
{
    std::vector<std::size_t> releasable;
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
        auto &node = m_nodes[i];
        const bool read = !node.successors.empty()
            && std::all_of(node.successors.begin(), node.successors.end(), [&](auto n) { return m_nodes[n].complete; });
        if (node.complete && read && !node.releasable) {
            node.releasable = true;
            releasable.push_back(i);
        }
    }
    return releasable;
}

std::vector<std::size_t> StageGraph::longestRemainingPath(std::size_t stage) const
{
    std::vector<std::size_t> longest;
    for (const auto next : m_nodes[stage].successors) {
        if (m_nodes[next].complete) {
            continue;
        }
        auto path = longestRemainingPath(next);
        path.insert(path.begin(), next);
        if (path.size() > longest.size()) {
            longest = std::move(path);
        }
    }
    return longest;
}

} // namespace mimosahub
