#pragma once

#include "libraries/domain/prepaid/spending_report.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace turmeric::domain
{

/// What is known of the earlier incarnations of a router on its own VM. They
/// spend nothing any more, since a VM runs one router process at a time. Not
/// thread safe.
class predecessor_grants
{
public:
    /// `self` is the incarnation that runs on `vm` now.
    predecessor_grants(std::string self, std::string vm);

    /// Returns whether an incarnation ran on this VM before.
    [[nodiscard]] bool is_predecessor(const std::string& incarnation) const;

    /// Sets the witnesses that the store names, by incarnation.
    void set_witnesses(std::map<std::string, std::set<std::string>> witnesses);

    /// Forgets the witnesses: in a new era of the store there are none yet.
    void begin_era();

    /// Returns whether nobody can tell what an incarnation has spent.
    [[nodiscard]] bool has_no_witness(const std::string& incarnation) const;

    /// Returns whether the store's witnesses are known.
    [[nodiscard]] bool has_witnesses() const;

    /// Adds what `witness` tells of an incarnation's spending of an account,
    /// unless the store does not name it: it may have missed the latest.
    void add_report(const std::string& witness, const std::string& incarnation,
                    const std::string& account, const spending_report& report);

    /// Returns the witnesses to ask for an incarnation's spending of an
    /// account; none if it is known already.
    [[nodiscard]] std::set<std::string>
    list_to_ask(const std::string& incarnation,
                const std::string& account) const;

    /// Returns how much of its grants of an account an incarnation has spent at
    /// most; nothing if it is not known.
    [[nodiscard]] std::optional<std::int64_t>
    max_spent(const std::string& incarnation, const std::string& account) const;

private:
    std::string m_self;
    std::string m_vm;
    std::optional<std::map<std::string, std::set<std::string>>> m_witnesses;
    /// By incarnation and account.
    std::map<std::string, std::map<std::string, spending_report>> m_reports;
};

} // namespace turmeric::domain
