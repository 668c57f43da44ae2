#pragma once

#include "libraries/core/logger.hpp"
#include "libraries/drivers/budget/bill_copy_store.hpp"
#include "libraries/drivers/budget/shard_editor.hpp"

#include <functional>
#include <string>

namespace turmeric::drivers
{

/// Settles the bills of routers that ended before the platform was available
/// again, from the copies in this process. Thread safe.
class bill_copy_settler
{
public:
    /// Returns whether an incarnation may still settle its own bills. Thread
    /// safe.
    using liveness_check = std::function<bool(const std::string& incarnation)>;

    /// Precondition: all references outlive the settler.
    bill_copy_settler(bill_copy_store& copies, shard_editor& editor,
                      const ports::clock& clock, logger& log);

    /// Settles the copied bills of ended incarnations and erases their copies.
    /// Stops at the first shard that cannot be changed. Thread safe; blocks
    /// until `deadline` at most.
    void run(const liveness_check& is_alive, ports::steady_time deadline);

private:
    bill_copy_store& m_copies;
    shard_editor& m_editor;
    const ports::clock& m_clock;
    logger& m_log;
};

} // namespace turmeric::drivers
