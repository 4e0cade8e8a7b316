#pragma once

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

#include <string_view>

/// The life of a daemon as a Boost.MSM machine: its shape is fixed in code,
/// unlike the charts in charts/, which people on call read and may adjust.
namespace mimosahub
{

/// Phases of a daemon's life, in the machine's order of states.
enum class DaemonPhase {
    CatchingUp, ///< Reads the log to its head; not ready.
    Serving, ///< Ready.
    Draining, ///< Not ready; finishes open requests while the balancer still sends.
    Leaving, ///< Hands over leases and leaves the members.
    Stopped,
};

/// Name of \a phase in logs and /readyz.
[[nodiscard]] std::string_view phaseName(DaemonPhase phase);

namespace life
{

namespace msm = boost::msm;
namespace front = boost::msm::front;

/// The control state has reached the log's head, or the highest offset of all peers.
struct CaughtUp {
};
/// SIGTERM or SIGINT came.
struct StopAsked {
};
/// No request is open, or the drain time has run out.
struct Drained {
};
/// The leave was recorded, or its time has run out.
struct Left {
};

struct CatchingUp : front::state<> {
};
struct Serving : front::state<> {
};
struct Draining : front::state<> {
};
struct Leaving : front::state<> {
};
struct Stopped : front::state<> {
};

struct LifeDefinition : front::state_machine_def<LifeDefinition> {
    using initial_state = CatchingUp;

    struct transition_table : boost::mpl::vector< // NOLINT(readability-identifier-naming): MSM's name
                                  front::Row<CatchingUp, CaughtUp, Serving>, front::Row<CatchingUp, StopAsked, Leaving>,
                                  front::Row<Serving, StopAsked, Draining>, front::Row<Draining, Drained, Leaving>,
                                  front::Row<Leaving, Left, Stopped>> {
    };

    /// Events that a phase doesn't know change nothing: a second SIGTERM, say.
    template<typename Machine, typename Event>
    void no_transition(const Event &, Machine &, int)
    {
    }
};

using Life = msm::back::state_machine<LifeDefinition>;

} // namespace life

/// The running machine of one daemon.
class DaemonLife
{
public:
    DaemonLife()
    {
        m_machine.start();
    }
    /// Takes \a event; the result says whether the phase has changed.
    template<typename Event>
    bool take(const Event &event)
    {
        const auto before = phase();
        m_machine.process_event(event);
        return phase() != before;
    }
    [[nodiscard]] DaemonPhase phase() const
    {
        return static_cast<DaemonPhase>(m_machine.current_state()[0]);
    }

private:
    life::Life m_machine;
};

} // namespace mimosahub
