#pragma once

#include "libraries/adapters/system/system_clock.hpp"
#include "libraries/drivers/budget/budget_service.hpp"
#include "libraries/drivers/budget/shard_editor.hpp"
#include "libraries/fakes/counting_logger.hpp"
#include "libraries/fakes/fake_key_value_store.hpp"
#include "libraries/fakes/seeded_random.hpp"

#include <memory>
#include <string>

namespace turmeric::tests
{

/// Shared by the tests of the budget drivers: a store that injects faults, and
/// settings with short times. The tests run real threads with the system clock;
/// no check depends on timing.
struct budget_service_fixture
{
    budget_service_fixture()
        : store(clock)
        , random(20261204)
        , editor(store, clock, random)
    {
        settings.ledger.shard_count = 1;
        settings.committer.shard_count = 1;
        settings.committer.max_calls_per_second = 100'000.0;
        settings.committer.max_call_burst = 1'000.0;
        settings.committer.writer.write_interval = std::chrono::milliseconds(0);
        settings.committer.writer.min_backoff = std::chrono::milliseconds(1);
        settings.committer.writer.max_backoff = std::chrono::milliseconds(4);
        settings.commit_interval = std::chrono::milliseconds(1);
        settings.commit_timeout = std::chrono::milliseconds(200);
        settings.min_backoff = std::chrono::milliseconds(1);
        settings.max_backoff = std::chrono::milliseconds(4);
        settings.claims.min_backoff = std::chrono::milliseconds(1);
        settings.claims.max_backoff = std::chrono::milliseconds(2);
    }

    [[nodiscard]] ports::steady_time short_deadline() const
    {
        return clock.steady_now() + std::chrono::milliseconds(100);
    }

    [[nodiscard]] ports::steady_time long_deadline() const
    {
        return clock.steady_now() + std::chrono::seconds(60);
    }

    std::unique_ptr<drivers::budget_service>
    start_service(const std::string& name)
    {
        return std::make_unique<drivers::budget_service>(
            drivers::budget_ports{store, clock, random, log, committer,
                                  replicator},
            settings, name);
    }

    bool top_up(domain::tokens amount, const std::string& id = "t")
    {
        return editor
            .top_up({"acme", "main", id, amount}, 1, domain::shard_limits{},
                    long_deadline())
            .has_value();
    }

    [[nodiscard]] static domain::hold_request
    request(const std::string& id, domain::tokens upper_bound)
    {
        return {"acme", "main", id, 7, upper_bound};
    }

    domain::budget_account account()
    {
        result<domain::budget_shard> shard = editor.read(0);
        return shard ? shard.value().budgets["acme/main"]
                     : domain::budget_account{};
    }

    adapters::system_clock clock;
    fakes::fake_key_value_store store;
    fakes::seeded_random random;
    fakes::counting_logger log;
    drivers::shard_editor editor;
    drivers::budget_settings settings;
    drivers::batch_committer* committer = nullptr;
    drivers::bill_replicator* replicator = nullptr;
};

} // namespace turmeric::tests
