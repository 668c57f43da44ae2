#include "libraries/domain/prepaid/predecessor_grants.hpp"

#include "libraries/domain/membership/incarnation.hpp"

#include <utility>

namespace turmeric::domain
{

predecessor_grants::predecessor_grants(std::string self, std::string vm)
    : m_self(std::move(self))
    , m_vm(std::move(vm))
{
}

bool predecessor_grants::is_predecessor(const std::string& incarnation) const
{
    return incarnation != m_self && is_incarnation_of(incarnation, m_vm);
}

void predecessor_grants::set_witnesses(
    std::map<std::string, std::set<std::string>> witnesses)
{
    m_witnesses = std::move(witnesses);
}

void predecessor_grants::begin_era()
{
    m_witnesses.reset();
}

bool predecessor_grants::has_witnesses() const
{
    return m_witnesses.has_value();
}

bool predecessor_grants::has_no_witness(const std::string& incarnation) const
{
    if (!m_witnesses)
    {
        return false;
    }
    const auto witnesses = m_witnesses->find(incarnation);
    return witnesses == m_witnesses->end() || witnesses->second.empty();
}

void predecessor_grants::add_report(const std::string& witness,
                                    const std::string& incarnation,
                                    const std::string& account,
                                    const spending_report& report)
{
    if (!m_witnesses)
    {
        return;
    }
    const auto witnesses = m_witnesses->find(incarnation);
    if (witnesses == m_witnesses->end() ||
        witnesses->second.count(witness) == 0)
    {
        return;
    }
    m_reports[incarnation][account].merge(report);
}

std::set<std::string>
predecessor_grants::list_to_ask(const std::string& incarnation,
                                const std::string& account) const
{
    if (!m_witnesses || max_spent(incarnation, account))
    {
        return {};
    }
    const auto witnesses = m_witnesses->find(incarnation);
    return witnesses == m_witnesses->end() ? std::set<std::string>()
                                           : witnesses->second;
}

std::optional<std::int64_t>
predecessor_grants::max_spent(const std::string& incarnation,
                              const std::string& account) const
{
    const auto accounts = m_reports.find(incarnation);
    if (accounts == m_reports.end())
    {
        return std::nullopt;
    }
    const auto report = accounts->second.find(account);
    return report == accounts->second.end()
               ? std::nullopt
               : std::optional(report->second.max_spent_of_grants());
}

} // namespace turmeric::domain
