#pragma once

#include "libraries/codecs/fleet/digest_codec.hpp"
#include "libraries/domain/membership/entry_list.hpp"
#include "libraries/drivers/exchange/fleet_view.hpp"
#include "libraries/drivers/fleet/fleet_member.hpp"
#include "libraries/ports/clock.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace turmeric::drivers
{

/// What this router knows of the others, from the registry and from their
/// digests. Not thread safe.
class peer_table
{
public:
    /// No precondition.
    explicit peer_table(fleet_member self);

    /// Sets who is registered, this router included.
    void set_members(const std::vector<fleet_member>& members,
                     ports::steady_time now);

    /// Takes a digest; one that is not newer than the last is dropped.
    void apply_digest(codecs::peer_digest digest, ports::steady_time now);

    /// Returns the peers' addresses for digests.
    [[nodiscard]] std::vector<std::string> peer_addresses() const;

    /// Returns how many routers serve, this one included; at least 1.
    [[nodiscard]] std::int64_t count_routers(ports::steady_time now) const;

    /// Returns what peers have placed, spent and can still hold.
    [[nodiscard]] fleet_view view(ports::steady_time now) const;

    /// Returns the routers as the directory lists them.
    [[nodiscard]] std::vector<domain::entry_candidate>
    entry_candidates(bool is_self_leaving, ports::steady_time now) const;

    /// Returns the address of the peer that can spare the most of an
    /// account's tokens, if one can.
    [[nodiscard]] std::optional<std::string>
    find_lender(const std::string& account, ports::steady_time now) const;

    /// Returns a peer's address for datagrams, if it is registered.
    [[nodiscard]] std::optional<std::string>
    address_of(const std::string& incarnation) const;

    /// Returns the peer that has the newest configuration above `version`.
    [[nodiscard]] std::optional<std::string>
    find_newer_configuration(std::int64_t version,
                             ports::steady_time now) const;

private:
    struct peer_state
    {
        codecs::peer_digest digest;
        std::optional<ports::steady_time> last_digest_at;
    };

    [[nodiscard]] bool has_recent_report(const std::string& incarnation,
                                         ports::steady_time now) const;

    fleet_member m_self;
    std::map<std::string, fleet_member> m_members;
    std::map<std::string, ports::steady_time> m_registered_at;
    /// Of all that were ever heard of, since what the dead have spent counts.
    std::map<std::string, peer_state> m_peers;
};

} // namespace turmeric::drivers
