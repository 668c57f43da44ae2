#include "libraries/domain/configuration/validation.hpp"

#include "libraries/domain/configuration/fault_list.hpp"
#include "libraries/domain/configuration/object_lists.hpp"

#include <set>
#include <string>

namespace turmeric::domain
{

namespace
{

constexpr std::int32_t million = 1'000'000;
constexpr std::int32_t max_weight = 1'000;
constexpr std::int32_t max_priority = 1'000;
constexpr std::int32_t max_capacity = 100'000;
constexpr tokens max_tokens_of_answer = 10'000'000;
constexpr std::chrono::milliseconds max_idle_timeout{600'000};
constexpr std::chrono::milliseconds max_latency{600'000};
constexpr std::chrono::seconds max_soak{7 * 24 * 3600};

std::string element(const std::string& path, const char* list,
                    std::size_t index)
{
    return path + '.' + list + '[' + std::to_string(index) + ']';
}

class validator
{
public:
    explicit validator(const configuration& whole)
        : m_whole(whole)
    {
        for (const route_declaration& route : whole.routes)
        {
            m_route_names.insert(route.name);
        }
    }

    std::vector<error> run()
    {
        visit_object_lists([this](const auto& objects)
                           { check_list(objects); });
        return m_faults.take();
    }

private:
    template <class Declaration>
    void check_list(const object_list<Declaration>& objects)
    {
        std::set<std::string> names;
        for (const Declaration& object : m_whole.*objects.list)
        {
            const std::string& name = object.*objects.name;
            const std::string path =
                std::string(name_of(objects.kind)) + '/' + name;
            m_faults.expect_name(name, path);
            m_faults.expect(names.insert(name).second, path,
                            "one object of that name, found several");
            check(object, path);
        }
    }

    void check(const account_declaration& account, const std::string& path)
    {
        m_faults.expect_range(account.weight, 1, max_weight, path + ".weight");
        m_faults.expect_range(account.priority, -max_priority, max_priority,
                              path + ".priority");
        for (std::size_t i = 0; i < account.key_digests.size(); ++i)
        {
            const std::string place = element(path, "key_digests", i);
            const std::string& digest = account.key_digests[i];
            m_faults.expect(is_key_digest(digest), place,
                            "a SHA-256 digest in lower-case hexadecimal");
            m_faults.expect(m_key_digests.insert(digest).second, place,
                            "a key that no account has already");
        }
        std::set<std::string> budget_names;
        for (std::size_t i = 0; i < account.budgets.size(); ++i)
        {
            const std::string place = element(path, "budgets", i);
            const budget_declaration& budget = account.budgets[i];
            check_budget(budget, place);
            m_faults.expect(budget_names.insert(budget.name).second,
                            place + ".name",
                            "a name that no other budget of the account has");
        }
    }

    void check_budget(const budget_declaration& budget, const std::string& path)
    {
        m_faults.expect_name(budget.name, path + ".name");
        for (std::size_t i = 0; i < budget.routes.size(); ++i)
        {
            m_faults.expect(m_route_names.count(budget.routes[i]) == 1,
                            element(path, "routes", i),
                            "the name of a declared route, found \"" +
                                budget.routes[i] + '"');
        }
    }

    void check(const route_declaration& route, const std::string& path)
    {
        check_versions(route, path);
        m_faults.expect_range(route.tokens_per_call, 0, max_tokens_of_answer,
                              path + ".tokens_per_call");
        m_faults.expect_range(route.max_tokens, 1, max_tokens_of_answer,
                              path + ".max_tokens");
        m_faults.expect_range(route.idle_timeout.count(), 1,
                              max_idle_timeout.count(),
                              path + ".idle_timeout_ms");
        const objective_declaration& objective = route.objective;
        const std::string place = path + ".objective";
        m_faults.expect_share(objective.availability, place + ".availability");
        m_faults.expect_share(objective.latency_share,
                              place + ".latency_share");
        m_faults.expect_range(objective.first_token.count(), 1,
                              max_latency.count(), place + ".first_token_ms");
        m_faults.expect_range(objective.token_gap.count(), 1,
                              max_latency.count(), place + ".token_gap_ms");
    }

    void check_versions(const route_declaration& route, const std::string& path)
    {
        std::set<std::string> names;
        std::int64_t sum = 0;
        for (std::size_t i = 0; i < route.versions.size(); ++i)
        {
            const version_share& share = route.versions[i];
            const std::string place = element(path, "versions", i);
            m_faults.expect_name(share.version, place + ".version");
            m_faults.expect(names.insert(share.version).second,
                            place + ".version",
                            "a version that is not listed already");
            m_faults.expect_range(share.parts_per_million, 0, million,
                                  place + ".parts_per_million");
            sum += share.parts_per_million;
        }
        m_faults.expect(sum == million, path + ".versions",
                        "shares that add up to 1000000, found " +
                            std::to_string(sum));
    }

    void check(const upstream_declaration& upstream, const std::string& path)
    {
        m_faults.expect(is_address(upstream.address), path + ".address",
                        "host:port");
        m_faults.expect(m_addresses.insert(upstream.address).second,
                        path + ".address",
                        "an address that no other upstream has");
        m_faults.expect_name(upstream.data_centre, path + ".data_centre");
        m_faults.expect(!upstream.versions.empty(), path + ".versions",
                        "at least one version");
        for (std::size_t i = 0; i < upstream.versions.size(); ++i)
        {
            m_faults.expect_name(upstream.versions[i],
                                 element(path, "versions", i));
        }
        m_faults.expect_range(upstream.capacity, 1, max_capacity,
                              path + ".capacity");
    }

    void check(const move_declaration& move, const std::string& path)
    {
        m_faults.expect(m_route_names.count(move.route) == 1, path + ".route",
                        "the name of a declared route");
        m_faults.expect_name(move.from_version, path + ".from_version");
        m_faults.expect_name(move.to_version, path + ".to_version");
        m_faults.expect(move.from_version != move.to_version,
                        path + ".to_version",
                        "another version than from_version");
        m_faults.expect(move.start < move.deadline, path + ".deadline",
                        "a time after start");
        m_faults.expect_range(move.soak.count(), 0, max_soak.count(),
                              path + ".soak_s");
        m_faults.expect(!move.steps.empty() && move.steps.back() == million,
                        path + ".steps", "a last step of 1000000");
        std::int32_t previous = 0;
        for (std::size_t i = 0; i < move.steps.size(); ++i)
        {
            m_faults.expect_range(move.steps[i], previous + 1, million,
                                  element(path, "steps", i));
            previous = std::min(move.steps[i], million - 1);
        }
    }

    void check(const vm_declaration& vm, const std::string& path)
    {
        m_faults.expect_name(vm.name, path + ".name");
    }

    const configuration& m_whole;
    std::set<std::string> m_route_names;
    std::set<std::string> m_key_digests;
    std::set<std::string> m_addresses;
    fault_list m_faults;
};

} // namespace

std::vector<error> validate(const configuration& whole)
{
    return validator(whole).run();
}

} // namespace turmeric::domain
