#include "libraries/drivers/fleet/observed_store.hpp"

#include <utility>

namespace turmeric::drivers
{

observed_store::observed_store(ports::asynchronous_store& store,
                               const ports::clock& clock)
    : m_store(store)
    , m_clock(clock)
    , m_contact(std::make_shared<domain::contact_record>())
{
}

const domain::contact_record& observed_store::contact() const
{
    return *m_contact;
}

template <class Value>
observed_store::callback<Value>
observed_store::observe(callback<Value> done) const
{
    return [contact = m_contact, &clock = m_clock,
            done = std::move(done)](result<Value> response)
    {
        if (response)
        {
            contact->add(clock.steady_now());
        }
        done(std::move(response));
    };
}

ports::store_era_tracker& observed_store::eras()
{
    return m_store.eras();
}

void observed_store::list(const std::string& prefix,
                          callback<ports::key_range> done)
{
    m_store.list(prefix, observe(std::move(done)));
}

void observed_store::watch(const std::string& prefix, ports::revision after,
                           std::chrono::milliseconds wait,
                           callback<ports::watch_batch> done)
{
    m_store.watch(prefix, after, wait, observe(std::move(done)));
}

void observed_store::commit(const ports::store_change& change,
                            callback<ports::change_outcome> done)
{
    m_store.commit(change, observe(std::move(done)));
}

void observed_store::create_lease(std::chrono::milliseconds time_to_live,
                                  callback<ports::granted_lease> done)
{
    m_store.create_lease(time_to_live, observe(std::move(done)));
}

void observed_store::renew_lease(ports::lease_id lease,
                                 callback<std::monostate> done)
{
    m_store.renew_lease(lease, observe(std::move(done)));
}

void observed_store::revoke_lease(ports::lease_id lease,
                                  callback<std::monostate> done)
{
    m_store.revoke_lease(lease, observe(std::move(done)));
}

} // namespace turmeric::drivers
