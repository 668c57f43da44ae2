#pragma once

#include "libraries/domain/membership/contact_record.hpp"
#include "libraries/ports/asynchronous_store.hpp"
#include "libraries/ports/clock.hpp"

#include <chrono>
#include <memory>
#include <string>
#include <variant>

namespace turmeric::drivers
{

/// Passes all calls on to a store and records when the store answered. A
/// refusal or a lost response is no answer. Used on the thread of the store
/// only.
class observed_store final : public ports::asynchronous_store
{
public:
    /// Precondition: the store and the clock outlive this object and its calls.
    observed_store(ports::asynchronous_store& store, const ports::clock& clock);

    /// Returns when the store answered this router.
    [[nodiscard]] const domain::contact_record& contact() const;

    ports::store_era_tracker& eras() override;
    void list(const std::string& prefix,
              callback<ports::key_range> done) override;
    void watch(const std::string& prefix, ports::revision after,
               std::chrono::milliseconds wait,
               callback<ports::watch_batch> done) override;
    void commit(const ports::store_change& change,
                callback<ports::change_outcome> done) override;
    void create_lease(std::chrono::milliseconds time_to_live,
                      callback<ports::granted_lease> done) override;
    void renew_lease(ports::lease_id lease,
                     callback<std::monostate> done) override;
    void revoke_lease(ports::lease_id lease,
                      callback<std::monostate> done) override;

private:
    /// Returns a callback that records a successful response before `done`.
    template <class Value>
    [[nodiscard]] callback<Value> observe(callback<Value> done) const;

    ports::asynchronous_store& m_store;
    const ports::clock& m_clock;
    /// Shared with the callbacks of calls, which may outlive this object.
    std::shared_ptr<domain::contact_record> m_contact;
};

} // namespace turmeric::drivers
