#include "libraries/core/log_event.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace turmeric
{

namespace
{

using event_row = std::pair<log_event, std::string_view>;

constexpr std::array event_table = {
    event_row{log_event::process_started, "process_started"},
    event_row{log_event::process_stopping, "process_stopping"},
    event_row{log_event::process_stopped, "process_stopped"},
    event_row{log_event::listen_failed, "listen_failed"},
    event_row{log_event::settings_rejected, "settings_rejected"},
    event_row{log_event::thread_failed, "thread_failed"},
    event_row{log_event::stop_cut_streams, "stop_cut_streams"},
    event_row{log_event::settings_reloaded, "settings_reloaded"},
    event_row{log_event::log_lines_dropped, "log_lines_dropped"},
    event_row{log_event::process_failed, "process_failed"},
    event_row{log_event::router_overloaded, "router_overloaded"},
    event_row{log_event::router_relieved, "router_relieved"},
    event_row{log_event::request_finished, "request_finished"},
    event_row{log_event::request_refused, "request_refused"},
    event_row{log_event::request_retried, "request_retried"},
    event_row{log_event::stream_resumed, "stream_resumed"},
    event_row{log_event::stream_parked, "stream_parked"},
    event_row{log_event::caller_gone, "caller_gone"},
    event_row{log_event::request_placed, "request_placed"},
    event_row{log_event::answer_broken_off, "answer_broken_off"},
    event_row{log_event::request_forwarded, "request_forwarded"},
    event_row{log_event::grant_changed, "grant_changed"},
    event_row{log_event::bill_committed, "bill_committed"},
    event_row{log_event::bill_duplicate, "bill_duplicate"},
    event_row{log_event::commit_failed, "commit_failed"},
    event_row{log_event::commit_resolved, "commit_resolved"},
    event_row{log_event::grant_closed, "grant_closed"},
    event_row{log_event::incarnation_fenced, "incarnation_fenced"},
    event_row{log_event::claim_resolved, "claim_resolved"},
    event_row{log_event::tokens_lent, "tokens_lent"},
    event_row{log_event::grant_conflict, "grant_conflict"},
    event_row{log_event::grant_differs, "grant_differs"},
    event_row{log_event::totals_collected, "totals_collected"},
    event_row{log_event::lost_grants_reserved, "lost_grants_reserved"},
    event_row{log_event::upstream_ejected, "upstream_ejected"},
    event_row{log_event::upstream_returned, "upstream_returned"},
    event_row{log_event::upstream_leaving, "upstream_leaving"},
    event_row{log_event::move_stepped, "move_stepped"},
    event_row{log_event::move_cut, "move_cut"},
    event_row{log_event::move_taken_back, "move_taken_back"},
    event_row{log_event::move_finished, "move_finished"},
    event_row{log_event::order_sent, "order_sent"},
    event_row{log_event::order_refused, "order_refused"},
    event_row{log_event::upstream_call_broken, "upstream_call_broken"},
    event_row{log_event::prompt_parts_blocked, "prompt_parts_blocked"},
    event_row{log_event::rate_limit_changed, "rate_limit_changed"},
    event_row{log_event::rate_limit_rejected, "rate_limit_rejected"},
    event_row{log_event::requests_blocked, "requests_blocked"},
    event_row{log_event::upstream_notice_read, "upstream_notice_read"},
    event_row{log_event::upstream_notice_rejected, "upstream_notice_rejected"},
    event_row{log_event::paths_lost, "paths_lost"},
    event_row{log_event::paths_restored, "paths_restored"},
    event_row{log_event::ends_dropped, "ends_dropped"},
    event_row{log_event::platform_call_failed, "platform_call_failed"},
    event_row{log_event::platform_recovered, "platform_recovered"},
    event_row{log_event::lease_acquired, "lease_acquired"},
    event_row{log_event::lease_lost, "lease_lost"},
    event_row{log_event::watch_replaced, "watch_replaced"},
    event_row{log_event::upstreams_changed, "upstreams_changed"},
    event_row{log_event::document_unreadable, "document_unreadable"},
    event_row{log_event::store_restored, "store_restored"},
    event_row{log_event::evacuation_begun, "evacuation_begun"},
    event_row{log_event::evacuation_ended, "evacuation_ended"},
    event_row{log_event::configuration_in_force, "configuration_in_force"},
    event_row{log_event::configuration_rejected, "configuration_rejected"},
    event_row{log_event::operator_call, "operator_call"},
    event_row{log_event::peer_connected, "peer_connected"},
    event_row{log_event::peer_lost, "peer_lost"},
    event_row{log_event::member_joined, "member_joined"},
    event_row{log_event::member_left, "member_left"},
    event_row{log_event::entries_listed, "entries_listed"},
};

} // namespace

std::string_view name_of(log_event event)
{
    auto row = std::find_if(event_table.begin(), event_table.end(),
                            [event](const event_row& candidate)
                            { return candidate.first == event; });
    return row == event_table.end() ? "unknown" : row->second;
}

} // namespace turmeric
