#pragma once

#include "libraries/domain/configuration/declarations.hpp"
#include "libraries/drivers/budget/shard_editor.hpp"
#include "libraries/drivers/configuration/configuration_writer.hpp"
#include "libraries/ports/clock.hpp"
#include "services/controller/operator_result.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <operator.pb.h>
#include <string>

namespace turmeric::controller
{

namespace v1 = turmericfront::v1;

/// Settings of `budget_request_handler`.
struct budget_request_settings
{
    /// Must be the same as in the routers' settings.
    std::int32_t shard_count = 64;
    /// How long a top-up is retried.
    std::chrono::milliseconds timeout{5'000};
    domain::shard_limits limits;
};

/// Handles the operators' requests about budgets. Thread safe.
class budget_request_handler
{
public:
    /// Precondition: the references outlive this object.
    budget_request_handler(drivers::shard_editor& editor,
                           drivers::configuration_writer& declarations,
                           const ports::clock& clock,
                           const budget_request_settings& settings);

    /// Adds tokens to a budget, at most once for each top-up id. Errors:
    /// `unknown_object`, `invalid_field`, `amount_overflow`, `top_up_reused`,
    /// `ledger_full`, those of the platform. Thread safe; blocks.
    operator_result<v1::TopUpReply> top_up(const v1::TopUpRequest& request);

    /// Returns a budget's balance. Errors: `unknown_object`, those of the
    /// platform. Thread safe; blocks.
    operator_result<v1::Budget> get_budget(const v1::GetBudgetRequest& request);

    /// Returns the balances of all budgets of one client account, or of all
    /// client accounts if the request names none. Errors: as `get_budget`.
    /// Thread safe; blocks.
    operator_result<v1::ListBudgetsReply>
    list_budgets(const v1::ListBudgetsRequest& request);

private:
    using shards_by_number = std::map<std::int32_t, domain::budget_shard>;

    status check_declared(const std::string& account,
                          const std::string& budget);
    result<v1::Budget> read_budget(const std::string& account,
                                   const std::string& budget,
                                   shards_by_number& shards);

    drivers::shard_editor& m_editor;
    drivers::configuration_writer& m_declarations;
    const ports::clock& m_clock;
    budget_request_settings m_settings;
};

} // namespace turmeric::controller
