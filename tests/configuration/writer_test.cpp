#include <rapidcheck.h>

#include "libraries/drivers/configuration/configuration_keys.hpp"
#include "libraries/drivers/configuration/configuration_writer.hpp"
#include "libraries/fakes/fake_key_value_store.hpp"
#include "libraries/fakes/manual_clock.hpp"
#include "tests/configuration/sample_configurations.hpp"

#include <CppUTest/TestHarness.h>

using namespace turmeric;
using drivers::accepted_change;
using drivers::change_outcome;
using drivers::configuration_change;
using drivers::conflicting_change;
using drivers::rejected_change;
using fakes::store_fault;

namespace
{

struct fixture
{
    fakes::manual_clock clock;
    fakes::fake_key_value_store store{clock};
    drivers::configuration_writer first{store, "first", [] {}};
    drivers::configuration_writer second{store, "second", [] {}};
};

configuration_change weight_change(const std::string& account, int weight,
                                   std::int64_t base_version = 0)
{
    configuration_change change;
    change.declared.objects =
        tests::configuration_with_account(account, weight);
    change.base_version = base_version;
    change.operation = account + std::to_string(weight);
    return change;
}

/// Makes `count` calls, which use up the remaining scripted faults.
void consume_store_faults(fakes::fake_key_value_store& store, std::size_t count)
{
    for (std::size_t i = 0; i < count; ++i)
    {
        (void)store.get("none");
    }
}

int weight_of(drivers::configuration_writer& writer, const std::string& name)
{
    const result<domain::configuration> newest = writer.read(0);
    const domain::account_declaration* account =
        domain::find_account(newest.value(), name);
    return account == nullptr ? 0 : account->weight;
}

std::int64_t accepted_version(const change_outcome& outcome)
{
    const auto* accepted = std::get_if<accepted_change>(&outcome);
    return accepted == nullptr ? -1 : accepted->version;
}

} // namespace

TEST_GROUP(configuration_writer){};

TEST(configuration_writer,
     a_change_of_an_old_version_merges_or_conflicts_per_object)
{
    fixture f;
    LONGS_EQUAL(1, accepted_version(f.first.apply(weight_change("a", 1))));
    LONGS_EQUAL(2, accepted_version(f.first.apply(weight_change("b", 1))));
    LONGS_EQUAL(3, accepted_version(f.first.apply(weight_change("a", 2, 1))));
    LONGS_EQUAL(4, accepted_version(f.second.apply(weight_change("b", 2, 2))));
    const change_outcome outcome = f.second.apply(weight_change("a", 7, 2));
    const auto* conflict = std::get_if<conflicting_change>(&outcome);
    CHECK(conflict != nullptr);
    const domain::object_conflict object{domain::object_kind::account, "a"};
    CHECK(conflict->conflicts == std::vector{object});
    LONGS_EQUAL(4, conflict->current.version);
    LONGS_EQUAL(2, domain::find_account(conflict->current, "a")->weight);
    LONGS_EQUAL(7, domain::find_account(conflict->wanted, "a")->weight);
    LONGS_EQUAL(1, f.first.read(1).value().version);
    CHECK(f.first.read(1).value().accounts ==
          tests::configuration_with_account("a", 1).accounts);
}

TEST(configuration_writer, concurrent_changes_merge_or_one_of_them_conflicts)
{
    CHECK(rc::check(
        "another change takes effect before any call of the first writer",
        []
        {
            fixture f;
            (void)f.first.apply(weight_change("a", 1));
            const bool is_same_object = *rc::gen::arbitrary<bool>();
            const int call = *rc::gen::inRange(0, 12);
            int call_count = 0;
            bool is_racing = false;
            f.store.set_hook(
                [&]
                {
                    if (is_racing || call_count++ != call)
                    {
                        return;
                    }
                    is_racing = true;
                    const std::string other_account =
                        is_same_object ? "a" : "b";
                    RC_ASSERT(accepted_version(f.second.apply(
                                  weight_change(other_account, 5, 1))) == 2);
                });
            const change_outcome outcome =
                f.first.apply(weight_change("a", 3, 1));
            f.store.set_hook(nullptr);
            const bool has_raced = is_racing;
            const bool is_conflict =
                std::holds_alternative<conflicting_change>(outcome);
            RC_ASSERT(is_conflict || accepted_version(outcome) > 1);
            RC_ASSERT(!is_conflict || (has_raced && is_same_object));
            RC_ASSERT(weight_of(f.first, "a") == (is_conflict ? 5 : 3));
            if (has_raced && !is_same_object)
            {
                RC_ASSERT(weight_of(f.first, "b") == 5);
            }
            const std::int64_t versions = has_raced && !is_conflict ? 3 : 2;
            RC_ASSERT(f.first.read(0).value().version == versions);
        }));
}

TEST(configuration_writer, an_unknown_outcome_is_resolved)
{
    CHECK(rc::check(
        "writes lost before or after their effect, and another writer",
        []
        {
            fixture f;
            (void)f.first.apply(weight_change("a", 1));
            const auto store_faults =
                *rc::gen::container<std::vector<store_fault>>(rc::gen::element(
                    store_fault::none, store_fault::lost_reply,
                    store_fault::lost_request, store_fault::delayed_effect,
                    store_fault::unavailable));
            f.store.script(store_faults);
            const configuration_change change = weight_change("b", 4, 1);
            change_outcome outcome = f.first.apply(change);
            if (*rc::gen::arbitrary<bool>())
            {
                consume_store_faults(f.store, store_faults.size());
                (void)f.second.apply(weight_change("c", 4));
            }
            f.store.apply_delayed_writes();
            if (std::holds_alternative<rejected_change>(outcome))
            {
                // The operator repeats the change with the same operation; each
                // attempt uses up at least one fault.
                for (std::size_t i = 0;
                     i <= store_faults.size() && accepted_version(outcome) < 0;
                     ++i)
                {
                    outcome = f.second.apply(change);
                }
            }
            const std::int64_t version = accepted_version(outcome);
            RC_ASSERT(version >= 2);
            consume_store_faults(f.store, store_faults.size());
            RC_ASSERT(weight_of(f.first, "b") == 4);
            const std::int64_t newest = f.first.read(0).value().version;
            const bool has_c = weight_of(f.first, "c") == 4;
            RC_ASSERT(newest == (has_c ? 3 : 2));
        }));
}

TEST(configuration_writer,
     a_lost_reply_is_resolved_after_another_writer_replaced_the_head)
{
    int races = 0;
    for (std::size_t call = 0; call < 40; ++call)
    {
        fixture f;
        (void)f.first.apply(weight_change("a", 1));
        bool is_busy = false;
        bool has_raced = false;
        f.store.set_hook(
            [&]
            {
                if (is_busy || has_raced)
                {
                    return;
                }
                is_busy = true;
                const result<domain::configuration> seen = f.second.read(0);
                if (seen && seen.value().version == 2)
                {
                    has_raced = accepted_version(f.second.apply(
                                    weight_change("a", 5, 2))) == 3;
                }
                is_busy = false;
            });
        std::vector<store_fault> store_faults(call, store_fault::none);
        store_faults.push_back(store_fault::lost_reply);
        f.store.script(store_faults);
        configuration_change change = weight_change("a", 3, 1);
        change.operation.clear();
        const change_outcome outcome = f.first.apply(change);
        f.store.set_hook(nullptr);
        consume_store_faults(f.store, store_faults.size());
        // If a read fails, the change is rejected before anything is written.
        const bool is_rejected =
            std::holds_alternative<rejected_change>(outcome);
        CHECK(is_rejected || accepted_version(outcome) == 2);
        LONGS_EQUAL(is_rejected ? 1 : (has_raced ? 5 : 3),
                    weight_of(f.first, "a"));
        races += has_raced ? 1 : 0;
    }
    CHECK(races > 0);
}

TEST(configuration_writer, a_repeated_operation_does_not_undo_a_later_change)
{
    fixture f;
    (void)f.first.apply(weight_change("a", 1));
    const configuration_change change = weight_change("a", 3, 1);
    LONGS_EQUAL(2, accepted_version(f.first.apply(change)));
    LONGS_EQUAL(3, accepted_version(f.second.apply(weight_change("a", 5, 2))));
    LONGS_EQUAL(2, accepted_version(f.second.apply(change)));
    LONGS_EQUAL(5, weight_of(f.first, "a"));
}

TEST(configuration_writer,
     a_writer_that_fails_at_any_call_leaves_a_complete_version)
{
    for (int last_call = 0; last_call < 16; ++last_call)
    {
        fixture f;
        (void)f.first.apply(weight_change("a", 1));
        int calls = 0;
        f.store.set_hook(
            [&]
            {
                if (calls++ == last_call)
                {
                    f.store.set_outage(true);
                }
            });
        (void)f.first.apply(weight_change("a", 3));
        f.store.set_hook(nullptr);
        f.store.set_outage(false);
        const std::int64_t seen = f.second.read(0).value().version;
        LONGS_EQUAL(seen == 2 ? 3 : 1, weight_of(f.second, "a"));
        const change_outcome repeated = f.second.apply(weight_change("a", 3));
        LONGS_EQUAL(2, accepted_version(repeated));
        LONGS_EQUAL(3, weight_of(f.second, "a"));
    }
}

TEST(configuration_writer, an_invalid_declaration_set_changes_nothing)
{
    fixture f;
    const change_outcome outcome = f.first.apply(weight_change("a", -1));
    const auto* rejected = std::get_if<rejected_change>(&outcome);
    CHECK(rejected != nullptr);
    STRCMP_EQUAL("account/a.weight", rejected->errors.front().field.c_str());
    LONGS_EQUAL(0, f.first.read(0).value().version);
}

TEST(configuration_writer, a_declaration_set_without_keys_keeps_the_stored_keys)
{
    fixture f;
    (void)f.first.apply(weight_change("a", 1));
    configuration_change with_key = weight_change("a", 1);
    with_key.operation = "key";
    with_key.declared.objects.accounts[0].key_digests = {std::string(64, 'f')};
    LONGS_EQUAL(2, accepted_version(f.second.apply(with_key)));
    configuration_change set = weight_change("a", 9, 1);
    set.declared.is_complete = true;
    LONGS_EQUAL(3, accepted_version(f.first.apply(set)));
    LONGS_EQUAL(1, f.first.read(0).value().accounts.front().key_digests.size());
}

TEST(configuration_writer, a_dry_run_and_an_empty_change_write_nothing)
{
    fixture f;
    configuration_change dry = weight_change("a", 1);
    dry.is_dry_run = true;
    const change_outcome outcome = f.first.apply(dry);
    LONGS_EQUAL(0, accepted_version(outcome));
    LONGS_EQUAL(1, std::get<accepted_change>(outcome).changes.size());
    LONGS_EQUAL(1, accepted_version(f.first.apply(weight_change("a", 1))));
    configuration_change again = weight_change("a", 1);
    again.operation = "again";
    const change_outcome same = f.first.apply(again);
    LONGS_EQUAL(1, accepted_version(same));
    CHECK_FALSE(std::get<accepted_change>(same).is_written);
}
