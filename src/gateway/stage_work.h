#pragma once

#include "forward/batch_planner.h"

#include <functional>
#include <memory>

namespace mimosahub
{

/// The pieces of one stage of one request while they are made, and their results
/// afterwards. Destroying it gives up what is under way and drops the results.
class StageTicket
{
public:
    virtual ~StageTicket() = default;
    /// Somebody else drops the results, not the destructor.
    virtual void keepResults() = 0;
};

/// Has pieces of stages made. Traffic thread only.
class StageWork
{
public:
    using Done = std::function<void(PieceOrderResult)>;

    virtual ~StageWork() = default;
    /// Has \a order made by endpoints of \a service. \a done is called once, later,
    /// unless the ticket was destroyed before.
    [[nodiscard]] virtual std::unique_ptr<StageTicket> submit(const ServiceId &service, PieceOrder order,
                                                              Done done) = 0;
    /// What is known of the load of \a service.
    [[nodiscard]] virtual BatchLoad load(const ServiceId &service) = 0;
};

} // namespace mimosahub
