#pragma once

#include "libraries/core/logger.hpp"
#include "libraries/drivers/budget/bill_copy_store.hpp"
#include "libraries/drivers/budget/shard_editor.hpp"

#include <functional>
#include <string>

namespace turmeric::drivers
{

/// Settles the bills of routers that died before the platform came back, from
/// the copies kept here. Thread safe.
class bill_copy_settler
{
public:
    /// Tells whether an incarnation may still settle its own bills. Thread
    /// safe.
    using liveness_check = std::function<bool(const std::string& incarnation)>;

    /// Precondition: the references outlive this.
    bill_copy_settler(bill_copy_store& copies, shard_editor& editor,
                      const ports::clock& clock, logger& log);

    /// Settles what can be settled now and drops what is settled. Thread
    /// safe; blocks until `deadline` at most.
    void run(const liveness_check& is_alive, ports::steady_time deadline);

private:
    bill_copy_store& m_copies;
    shard_editor& m_editor;
    const ports::clock& m_clock;
    logger& m_log;
};

} // namespace turmeric::drivers
