#include "services/controller/budget_calls.hpp"

#include "libraries/domain/configuration/object_lists.hpp"

#include <algorithm>
#include <utility>

namespace turmeric::controller
{

namespace
{

constexpr std::size_t max_id_length = 128;

error unknown(const std::string& field, const std::string& name)
{
    return error{result_code::unknown_object, field,
                 "nothing is declared under the name \"" + name + '"'};
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

budget_calls::budget_calls(drivers::shard_editor& editor,
                           drivers::configuration_writer& declarations,
                           const ports::clock& clock,
                           const budget_call_settings& settings)
    : m_editor(editor)
    , m_declarations(declarations)
    , m_clock(clock)
    , m_settings(settings)
{
}

operator_result<v1::TopUpReply>
budget_calls::top_up(const v1::TopUpRequest& request)
{
    if (request.id().empty() || request.id().size() > max_id_length)
    {
        return fault_of(error{result_code::invalid_field, "id",
                              "expected 1 to 128 characters that name the "
                              "top-up"});
    }
    const status declared = check_declared(request.account(), request.budget());
    if (!declared)
    {
        return fault_of(declared.failure());
    }
    const domain::top_up added{request.account(), request.budget(),
                               request.id(), request.tokens()};
    const result<domain::change> applied =
        m_editor.top_up(added, m_settings.shard_count, m_settings.limits,
                        m_clock.steady_now() + m_settings.patience);
    if (!applied)
    {
        return fault_of(applied.failure());
    }
    shards_by_number known;
    result<v1::Budget> balance =
        read_budget(request.account(), request.budget(), known);
    v1::TopUpReply reply;
    reply.set_is_new(applied.value() == domain::change::made);
    if (balance)
    {
        *reply.mutable_balance() = std::move(balance.value());
    }
    return reply;
}

operator_result<v1::Budget>
budget_calls::get_budget(const v1::GetBudgetRequest& request)
{
    const status declared = check_declared(request.account(), request.budget());
    if (!declared)
    {
        return fault_of(declared.failure());
    }
    shards_by_number known;
    result<v1::Budget> balance =
        read_budget(request.account(), request.budget(), known);
    if (!balance)
    {
        return fault_of(balance.failure());
    }
    return std::move(balance.value());
}

operator_result<v1::ListBudgetsReply>
budget_calls::list_budgets(const v1::ListBudgetsRequest& request)
{
    const result<domain::configuration> declared = m_declarations.read(0);
    if (!declared)
    {
        return fault_of(declared.failure());
    }
    const std::string& wanted = request.account();
    if (!wanted.empty() &&
        domain::find_account(declared.value(), wanted) == nullptr)
    {
        return fault_of(unknown("account", wanted));
    }
    shards_by_number known;
    v1::ListBudgetsReply reply;
    for (const domain::account_declaration& account : declared.value().accounts)
    {
        if (!wanted.empty() && account.name != wanted)
        {
            continue;
        }
        for (const domain::budget_declaration& budget : account.budgets)
        {
            result<v1::Budget> balance =
                read_budget(account.name, budget.name, known);
            if (!balance)
            {
                return fault_of(balance.failure());
            }
            *reply.add_budgets() = std::move(balance.value());
        }
    }
    return reply;
}

status budget_calls::check_declared(const std::string& account,
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
        return unknown("account", account);
    }
    const bool has_budget =
        std::any_of(found->budgets.begin(), found->budgets.end(),
                    [&budget](const domain::budget_declaration& candidate)
                    { return candidate.name == budget; });
    return has_budget ? success() : status(unknown("budget", budget));
}

result<v1::Budget> budget_calls::read_budget(const std::string& account,
                                             const std::string& budget,
                                             shards_by_number& known)
{
    const std::int32_t number =
        domain::shard_of(account, m_settings.shard_count);
    auto place = known.find(number);
    if (place == known.end())
    {
        result<domain::budget_shard> read = m_editor.read(number);
        if (!read)
        {
            return read.failure();
        }
        place = known.emplace(number, std::move(read.value())).first;
    }
    return balance_of(account, budget, place->second);
}

} // namespace turmeric::controller
