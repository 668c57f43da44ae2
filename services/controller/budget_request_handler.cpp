#include "services/controller/budget_request_handler.hpp"

#include "libraries/domain/configuration/object_lists.hpp"

#include <algorithm>
#include <utility>

namespace turmeric::controller
{

namespace
{

constexpr std::size_t max_id_length = 128;

error unknown_object(const std::string& field, const std::string& name)
{
    return error{result_code::unknown_object, field,
                 "no object is declared with the name \"" + name + '"'};
}

v1::Budget balance_of(const std::string& account, const std::string& budget,
                      const domain::budget_shard& shard)
{
    v1::Budget balance;
    balance.set_account(account);
    balance.set_budget(budget);
    auto found = shard.budgets.find(domain::budget_key(account, budget));
    if (found != shard.budgets.end())
    {
        balance.set_topped_up(domain::total_top_ups_of(found->second));
        balance.set_settled(domain::settled_of(found->second));
        balance.set_outstanding(domain::outstanding_of(found->second));
        balance.set_available(domain::pool_of(found->second));
    }
    return balance;
}

} // namespace

budget_request_handler::budget_request_handler(
    drivers::shard_editor& editor, drivers::configuration_writer& declarations,
    const ports::clock& clock, const budget_request_settings& settings)
    : m_editor(editor)
    , m_declarations(declarations)
    , m_clock(clock)
    , m_settings(settings)
{
}

operator_result<v1::TopUpReply>
budget_request_handler::top_up(const v1::TopUpRequest& request)
{
    if (request.id().empty() || request.id().size() > max_id_length)
    {
        return make_operator_error(error{result_code::invalid_field, "id",
                                         "expected a top-up id of 1 to 128 "
                                         "characters"});
    }
    const status declared = check_declared(request.account(), request.budget());
    if (!declared)
    {
        return make_operator_error(declared.failure());
    }
    const domain::top_up top_up{request.account(), request.budget(),
                                request.id(), request.tokens()};
    const result<domain::change> applied =
        m_editor.top_up(top_up, m_settings.shard_count, m_settings.limits,
                        m_clock.steady_now() + m_settings.timeout);
    if (!applied)
    {
        return make_operator_error(applied.failure());
    }
    shards_by_number shards;
    result<v1::Budget> balance =
        read_budget(request.account(), request.budget(), shards);
    v1::TopUpReply reply;
    reply.set_is_new(applied.value() == domain::change::made);
    if (balance)
    {
        *reply.mutable_balance() = std::move(balance.value());
    }
    return reply;
}

operator_result<v1::Budget>
budget_request_handler::get_budget(const v1::GetBudgetRequest& request)
{
    const status declared = check_declared(request.account(), request.budget());
    if (!declared)
    {
        return make_operator_error(declared.failure());
    }
    shards_by_number shards;
    result<v1::Budget> balance =
        read_budget(request.account(), request.budget(), shards);
    if (!balance)
    {
        return make_operator_error(balance.failure());
    }
    return std::move(balance.value());
}

operator_result<v1::ListBudgetsReply>
budget_request_handler::list_budgets(const v1::ListBudgetsRequest& request)
{
    const result<domain::configuration> declared = m_declarations.read(0);
    if (!declared)
    {
        return make_operator_error(declared.failure());
    }
    const std::string& account_filter = request.account();
    if (!account_filter.empty() &&
        domain::find_account(declared.value(), account_filter) == nullptr)
    {
        return make_operator_error(unknown_object("account", account_filter));
    }
    shards_by_number shards;
    v1::ListBudgetsReply reply;
    for (const domain::account_declaration& account : declared.value().accounts)
    {
        if (!account_filter.empty() && account.name != account_filter)
        {
            continue;
        }
        for (const domain::budget_declaration& budget : account.budgets)
        {
            result<v1::Budget> balance =
                read_budget(account.name, budget.name, shards);
            if (!balance)
            {
                return make_operator_error(balance.failure());
            }
            *reply.add_budgets() = std::move(balance.value());
        }
    }
    return reply;
}

status budget_request_handler::check_declared(const std::string& account,
                                              const std::string& budget)
{
    const result<domain::configuration> declared = m_declarations.read(0);
    if (!declared)
    {
        return declared.failure();
    }
    const domain::account_declaration* found =
        domain::find_account(declared.value(), account);
    if (found == nullptr)
    {
        return unknown_object("account", account);
    }
    const bool has_budget =
        std::any_of(found->budgets.begin(), found->budgets.end(),
                    [&budget](const domain::budget_declaration& candidate)
                    { return candidate.name == budget; });
    return has_budget ? success() : status(unknown_object("budget", budget));
}

result<v1::Budget>
budget_request_handler::read_budget(const std::string& account,
                                    const std::string& budget,
                                    shards_by_number& shards)
{
    const std::int32_t number =
        domain::shard_of(account, m_settings.shard_count);
    auto found = shards.find(number);
    if (found == shards.end())
    {
        result<domain::budget_shard> read = m_editor.read(number);
        if (!read)
        {
            return read.failure();
        }
        found = shards.emplace(number, std::move(read.value())).first;
    }
    return balance_of(account, budget, found->second);
}

} // namespace turmeric::controller
