#include "libraries/domain/configuration/validation.hpp"

#include "libraries/domain/configuration/object_lists.hpp"
#include "libraries/domain/configuration/validation_error_list.hpp"

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
constexpr tokens max_tokens_per_response = 10'000'000;
constexpr std::chrono::milliseconds max_idle_timeout{600'000};
constexpr std::chrono::milliseconds max_latency{600'000};
constexpr std::chrono::seconds max_soak{7 * 24 * 3600};

std::string element_path(const std::string& path, const char* list,
                         std::size_t index)
{
    return path + '.' + list + '[' + std::to_string(index) + ']';
}

class validator
{
public:
    explicit validator(const configuration& candidate)
        : m_candidate(candidate)
    {
        for (const route_declaration& route : candidate.routes)
        {
            m_route_names.insert(route.name);
        }
    }

    std::vector<error> run()
    {
        visit_object_lists([this](const auto& objects)
                           { check_list(objects); });
        return m_errors.take();
    }

private:
    template <class Declaration>
    void check_list(const object_list<Declaration>& objects)
    {
        std::set<std::string> names;
        for (const Declaration& object : m_candidate.*objects.list)
        {
            const std::string& name = object.*objects.name;
            const std::string path =
                std::string(name_of(objects.kind)) + '/' + name;
            m_errors.expect_name(name, path);
            m_errors.expect(names.insert(name).second, path,
                            "a name that no other object of its kind has");
            check(object, path);
        }
    }

    void check(const account_declaration& account, const std::string& path)
    {
        m_errors.expect_range(account.weight, 1, max_weight, path + ".weight");
        m_errors.expect_range(account.priority, -max_priority, max_priority,
                              path + ".priority");
        for (std::size_t i = 0; i < account.key_digests.size(); ++i)
        {
            const std::string item_path = element_path(path, "key_digests", i);
            const std::string& digest = account.key_digests[i];
            m_errors.expect(is_key_digest(digest), item_path,
                            "a SHA-256 digest in lower-case hexadecimal");
            m_errors.expect(m_key_digests.insert(digest).second, item_path,
                            "a key that is not declared already");
        }
        std::set<std::string> budget_names;
        for (std::size_t i = 0; i < account.budgets.size(); ++i)
        {
            const std::string item_path = element_path(path, "budgets", i);
            const budget_declaration& budget = account.budgets[i];
            check_budget(budget, item_path);
            m_errors.expect(budget_names.insert(budget.name).second,
                            item_path + ".name",
                            "a name that no other budget of the account has");
        }
    }

    void check_budget(const budget_declaration& budget, const std::string& path)
    {
        m_errors.expect_name(budget.name, path + ".name");
        for (std::size_t i = 0; i < budget.routes.size(); ++i)
        {
            m_errors.expect(m_route_names.count(budget.routes[i]) == 1,
                            element_path(path, "routes", i),
                            "the name of a declared route, found \"" +
                                budget.routes[i] + '"');
        }
    }

    void check(const route_declaration& route, const std::string& path)
    {
        check_versions(route, path);
        m_errors.expect_range(route.tokens_per_call, 0, max_tokens_per_response,
                              path + ".tokens_per_call");
        m_errors.expect_range(route.max_tokens, 1, max_tokens_per_response,
                              path + ".max_tokens");
        m_errors.expect_range(route.idle_timeout.count(), 1,
                              max_idle_timeout.count(),
                              path + ".idle_timeout_ms");
        const objective_declaration& objective = route.objective;
        const std::string objective_path = path + ".objective";
        m_errors.expect_share(objective.availability,
                              objective_path + ".availability");
        m_errors.expect_share(objective.latency_share,
                              objective_path + ".latency_share");
        m_errors.expect_range(objective.first_token.count(), 1,
                              max_latency.count(),
                              objective_path + ".first_token_ms");
        m_errors.expect_range(objective.token_gap.count(), 1,
                              max_latency.count(),
                              objective_path + ".token_gap_ms");
    }

    void check_versions(const route_declaration& route, const std::string& path)
    {
        std::set<std::string> names;
        std::int64_t sum = 0;
        for (std::size_t i = 0; i < route.versions.size(); ++i)
        {
            const version_share& share = route.versions[i];
            const std::string item_path = element_path(path, "versions", i);
            m_errors.expect_name(share.version, item_path + ".version");
            m_errors.expect(names.insert(share.version).second,
                            item_path + ".version",
                            "a version that is not listed already");
            m_errors.expect_range(share.parts_per_million, 0, million,
                                  item_path + ".parts_per_million");
            sum += share.parts_per_million;
        }
        m_errors.expect(sum == million, path + ".versions",
                        "shares that add up to 1000000, found " +
                            std::to_string(sum));
    }

    void check(const upstream_declaration& upstream, const std::string& path)
    {
        m_errors.expect(is_address(upstream.address), path + ".address",
                        "host:port");
        m_errors.expect(m_addresses.insert(upstream.address).second,
                        path + ".address",
                        "an address that no other upstream has");
        m_errors.expect_name(upstream.data_centre, path + ".data_centre");
        m_errors.expect(!upstream.versions.empty(), path + ".versions",
                        "at least one version");
        for (std::size_t i = 0; i < upstream.versions.size(); ++i)
        {
            m_errors.expect_name(upstream.versions[i],
                                 element_path(path, "versions", i));
        }
        m_errors.expect_range(upstream.capacity, 1, max_capacity,
                              path + ".capacity");
    }

    void check(const move_declaration& move, const std::string& path)
    {
        m_errors.expect(m_route_names.count(move.route) == 1, path + ".route",
                        "the name of a declared route");
        m_errors.expect_name(move.from_version, path + ".from_version");
        m_errors.expect_name(move.to_version, path + ".to_version");
        m_errors.expect(move.from_version != move.to_version,
                        path + ".to_version",
                        "a version other than from_version");
        m_errors.expect(move.start < move.deadline, path + ".deadline",
                        "a time after start");
        m_errors.expect_range(move.soak.count(), 0, max_soak.count(),
                              path + ".soak_s");
        m_errors.expect(!move.steps.empty() && move.steps.back() == million,
                        path + ".steps", "a last step of 1000000");
        std::int32_t previous = 0;
        for (std::size_t i = 0; i < move.steps.size(); ++i)
        {
            m_errors.expect_range(move.steps[i], previous + 1, million,
                                  element_path(path, "steps", i));
            previous = std::min(move.steps[i], million - 1);
        }
    }

    void check(const vm_declaration& vm, const std::string& path)
    {
        m_errors.expect_name(vm.name, path + ".name");
    }

    const configuration& m_candidate;
    std::set<std::string> m_route_names;
    std::set<std::string> m_key_digests;
    std::set<std::string> m_addresses;
    validation_error_list m_errors;
};

} // namespace

std::vector<error> validate(const configuration& candidate)
{
    return validator(candidate).run();
}

} // namespace turmeric::domain
