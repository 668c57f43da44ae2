#pragma once

#include "libraries/codecs/fleet/digest_codec.hpp"
#include "libraries/domain/membership/contact_record.hpp"
#include "libraries/domain/membership/entry_list.hpp"
#include "libraries/drivers/exchange/fleet_view.hpp"
#include "libraries/drivers/fleet/fleet_member.hpp"
#include "libraries/ports/clock.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace turmeric::drivers
{

/// The state of the other routers, from their registrations and from the
/// digests that they send. Not thread safe.
class peer_table
{
public:
    /// Creates the table of the router `self`.
    explicit peer_table(fleet_member self);

    /// Sets the registered routers, including this one.
    void set_members(const std::vector<fleet_member>& members,
                     ports::steady_time now);

    /// Stores a peer's digest. One that is not newer than the peer's last
    /// digest is dropped.
    void apply_digest(codecs::peer_digest digest, ports::steady_time now);

    /// Returns the addresses to which digests are sent.
    [[nodiscard]] std::vector<std::string> peer_addresses() const;

    /// Returns since when the store has answered routers up to `now` without a
    /// long pause; `own` is when it answered this router.
    [[nodiscard]] ports::steady_time
    store_available_since(const domain::contact_record& own,
                          ports::steady_time now) const;

    /// Returns how many routers may be serving, including this one; at least
    /// 1.
    [[nodiscard]] std::int64_t count_routers(ports::steady_time now) const;

    /// Returns the load that peers have placed on upstreams, and the tokens
    /// that they have spent or can still hold.
    [[nodiscard]] fleet_view view(ports::steady_time now) const;

    /// Returns the routers from which the directory selects entries for
    /// callers.
    [[nodiscard]] std::vector<domain::entry_candidate>
    entry_candidates(bool is_self_leaving, bool is_self_overloaded,
                     ports::steady_time now) const;

    /// Returns the incarnations of the registered routers with a recent report
    /// that are not leaving, without this one.
    [[nodiscard]] std::set<std::string>
    live_peers(ports::steady_time now) const;

    /// Returns the registered routers but this one, by incarnation.
    [[nodiscard]] std::set<std::string> registered_peers() const;

    /// Returns the incarnations of the peers that have sent a digest within
    /// `max_silence` or were registered within it, leaving ones too.
    [[nodiscard]] std::set<std::string>
    list_reachable(std::chrono::milliseconds max_silence,
                   ports::steady_time now) const;

    /// Returns the incarnation of the peer with the most free tokens of an
    /// account; the empty text if no registered peer with a recent digest has
    /// any.
    [[nodiscard]] std::string find_lender(const std::string& account,
                                          ports::steady_time now) const;

    /// Returns a router's address for datagrams if it is registered.
    [[nodiscard]] std::optional<std::string>
    address_of(const std::string& incarnation) const;

    /// Returns the address of the peer with the newest configuration; nothing
    /// if no registered peer with a recent digest has a newer one than
    /// `version`.
    [[nodiscard]] std::optional<std::string>
    find_newer_configuration(std::int64_t version,
                             ports::steady_time now) const;

private:
    /// Returns the registered peers with a recent digest that are neither
    /// leaving nor overloaded.
    [[nodiscard]] std::vector<peer_path>
    list_paths(ports::steady_time now) const;
    struct peer_state
    {
        codecs::peer_digest digest;
        std::optional<ports::steady_time> last_digest_at;
    };

    /// Returns whether the router's last digest or, before its first digest,
    /// its registration is recent.
    [[nodiscard]] bool has_recent_report(const std::string& incarnation,
                                         ports::steady_time now) const;

    fleet_member m_self;
    std::map<std::string, fleet_member> m_members;
    std::map<std::string, ports::steady_time> m_registered_at;
    /// All peers that ever sent a digest, by incarnation. They are never
    /// removed: the tokens that a stopped router has spent still count.
    std::map<std::string, peer_state> m_peers;
    /// When the store answered peers.
    domain::contact_record m_store_contact;
};

} // namespace turmeric::drivers
