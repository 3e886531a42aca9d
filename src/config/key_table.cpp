// The operator's sections and keys: data alone. keys.cpp checks files and prints the page by it.
#include <vector>

#include "config/keys.h"

namespace sumackeel::config {

const std::vector<SectionDoc>& sections() {
    static const std::vector<SectionDoc> all{
        {"", "At the top."},
        {"signed_front", "The front for signed links. Off unless this section is there."},
        {"store",
         "Revoked links, key ids, live settings and purges in the agreed log. Needs [agreed]. Off unless "
         "this is there. "
         "See operating/registry.md."},
        {"discovery",
         "Where the list of cache boxes comes from. Without this section the platform's change log is "
         "followed "
         "alone, and called again each 100 ms."},
        {"saved_list",
         "A list of cache boxes kept on disk, to start from while discovery is down. Off unless this is "
         "there. "
         "See operating/saved-list.md."},
        {"peers",
         "The other edge proxies of this installation, and how this one talks with them. Off unless this is "
         "there. See operating/group.md."},
        {"agreed",
         "Who of the proxies and pop caches may leave, agreed by all. Needs [peers]. Off unless this is "
         "there. "
         "See operating/rollout.md."},
        {"recovery",
         "The way back from a power loss, together with the other proxies. Needs [peers]. Off unless this is "
         "there. See operating/recovery.md."},
        {"expectations",
         "What must hold of where requests go, checked before a configuration is taken up. Off unless this "
         "is "
         "there. See operating/expectations.md."}};
    return all;
}

// NOLINTNEXTLINE(readability-function-size): the table of keys
const std::vector<Key>& keys() {
    constexpr double kAny = 1e9;
    static const std::vector<Key> all{
#ifdef SUMACKEEL_TEST_KEYS
        {"", "test_clock_offset_s", Type::number, false, -kAny, kAny, "0", "", ""},  // on no page
#endif
        {"", "redis", Type::address, false, 0, 0, "", "", "Redis, for links that hold for one use."},

        {"signed_front", "listen", Type::address, true, 0, 0, "", "", "Where its clients connect."},
        {"signed_front", "scheme", Type::word, false, 0, 0, "\"https\"", "http https",
         "As the links name this service."},
        {"signed_front", "host", Type::text, true, 0, 0, "", "", "As the links name this service."},
        {"signed_front", "audience", Type::text, true, 0, 0, "", "",
         "The `aud` that links and tokens must have."},
        {"signed_front", "link_issuers", Type::texts, false, 0, 64, "[]", "",
         "Whose links are let in: their `iss`."},
        {"signed_front", "token_issuers", Type::texts, false, 0, 64, "[]", "",
         "Whose students' tokens are let in: their `iss`."},
        {"signed_front", "leeway_s", Type::number, false, 0, 60, "5", "",
         "Seconds by which clocks may be apart; a live setting of the store goes before it."},
        {"signed_front", "connections", Type::whole, false, 1, 100'000, "128", "",
         "Clients connected at a time."},
        {"signed_front", "retry_after_s", Type::whole, false, 1, 3600, "1", "",
         "Seconds to come back in, where the module names none."},
        {"signed_front", "one_time", Type::word, false, 0, 0, "\"\"", "local redis",
         "Who remembers links for one use: this proxy's memory, or Redis. Without it such links and `enrol` "
         "are "
         "refused."},
        {"signed_front", "keys", Type::path, true, 0, 0, "", "", "The JWK set with the keys."},

        {"store", "listen", Type::address, true, 0, 0, "", "", "Where `sumackeel store` asks this proxy."},
        {"store", "folder", Type::path, false, 0, 0, "", "",
         "Of the store of versions before 0.3, taken over once by its last primary."},
        {"store", "name", Type::text, false, 0, 0, "", "", "This member's name in that store."},
        {"store", "primary", Type::text, false, 0, 0, "", "", "Who led that store if nobody was promoted."},
        {"store", "members", Type::named_addresses, false, 0, 64, "", "",
         "Of that store; not used any more."},

        {"discovery", "sources", Type::addresses, false, 0, 8, "[]", "",
         "Change logs that tell the same events, the preferred first. Empty: the platform's alone."},
        {"discovery", "follow", Type::whole, false, 1, 8, "1", "",
         "Sources followed at a time. With 2, the second tells what the first is late with."},
        {"discovery", "first_wait_ms", Type::whole, false, 10, 60'000, "100", "",
         "Wait before a source that failed is called again, doubled with each failure in a row."},
        {"discovery", "longest_wait_ms", Type::whole, false, 10, 600'000, "5000", "",
         "The longest such wait."},
        {"discovery", "jitter", Type::number, false, 0, 1, "0.5", "",
         "Each wait is shortened by up to this share, by chance, so that proxies do not call together."},
        {"discovery", "doubt_empty_s", Type::number, false, 0, 86'400, "30", "",
         "Seconds that a whole list without a single cache box is held back before it is believed; a second "
         "source that tells it too ends the wait."},

        {"saved_list", "folder", Type::path, true, 0, 0, "", "",
         "Where the list is kept; made if it is missing. For this proxy alone."},
        {"saved_list", "site", Type::text, true, 0, 0, "", "",
         "Name of this installation. A file of another one is passed over."},
        {"saved_list", "full_until_s", Type::number, false, 0, 60, "5", "",
         "A list younger than this is used in full. Keep it below the shortest time in which a box can die "
         "and "
         "come back cold."},
        {"saved_list", "careful_until_s", Type::number, false, 0, 604'800, "900", "",
         "A list younger than this gives its boxes a cold start, an older one nothing: how long a box may be "
         "worked on after a drain that this proxy never heard of."},
        {"saved_list", "answered_within_s", Type::number, false, 0, 3600, "10", "",
         "A box that had not answered for longer when the list was last sure gets a cold start at any age."},
        {"saved_list", "save_every_ms", Type::whole, false, 100, 60'000, "500", "",
         "Least time between two writes, however much changes."},
        {"saved_list", "refresh_s", Type::number, false, 0.5, 3600, "2", "",
         "The list is written this often though nothing changed, so that its age on disk is right."},
        {"saved_list", "origin_per_s", Type::number, false, 0, kAny, "5", "",
         "Reads a second that all proxies together may send straight to the origin while no box may be used. "
         "Keep it well under what makes the origin stop. 0: none."},

        {"peers", "group", Type::text, true, 0, 0, "", "",
         "Name of the group, 40 characters at most. Words of another group are passed over."},
        {"peers", "name", Type::text, false, 0, 0, "", "",
         "This member's name, none other's in the group. Default: the platform's name."},
        {"peers", "version", Type::text, false, 0, 0, "", "",
         "What this proxy says that it runs, for releases of settings too; default: the program's version. "
         "Read anew at a reload."},
        {"peers", "listen", Type::address, true, 0, 0, "", "",
         "Where the others reach this one: datagrams and streams at one port."},
        {"peers", "advertise", Type::address, false, 0, 0, "", "",
         "What the others are told in place of `listen`, where they see another address."},
        {"peers", "seeds", Type::addresses, false, 0, 64, "[]", "",
         "Members to join through. Any one that answers will do; none: this one is the first."},
        {"peers", "reach", Type::named_addresses, false, 0, 4096, "", "",
         "By the address that a member tells: where this one reaches it instead."},
        {"peers", "key", Type::path, true, 0, 0, "", "",
         "File of the key that all members have, 16 bytes at least; a key a line: the first is used, all are "
         "accepted."},
        {"peers", "folder", Type::path, true, 0, 0, "", "",
         "Where this member's start number is kept; made if it is missing. For this member alone."},
        {"peers", "period_ms", Type::whole, false, 20, 60'000, "1000", "", "Between two probes."},
        {"peers", "probe_timeout_ms", Type::whole, false, 5, 30'000, "400", "",
         "For a direct answer; then others are asked to try. Half of `period_ms` at most."},
        {"peers", "indirect", Type::whole, false, 0, 10, "3", "", "How many others are asked to try."},
        {"peers", "votes", Type::whole, false, 1, 5, "2", "",
         "Members that must say that they can't reach one before it counts as dead."},
        {"peers", "exchange_s", Type::number, false, 0.1, 3600, "30", "",
         "Between two exchanges of all that is known, with a member by chance."},
        {"peers", "forget_s", Type::number, false, 1, 604'800, "3600", "",
         "How long a dead or left member is remembered, and asked whether it is back."},
        {"peers", "settle_s", Type::number, false, 1, 86'400, "60", "",
         "In which the count of proxies falls to what is there, where most are there."},
        {"peers", "bytes_per_s", Type::number, false, 1'500, 10'000'000, "4000", "",
         "Cap on what this member sends about members. At the cap the least urgent is dropped first, and "
         "counted. Calls and queries of other parts are not included."},

        {"agreed", "folder", Type::path, true, 0, 0, "", "",
         "Where a voter's log lies; made if it is missing. For this proxy alone, on a disk that lasts."},
        {"agreed", "voters", Type::named_addresses, true, 1, 7, "", "",
         "Three or five members by name, with the address at which they reach each other for the log. The "
         "same "
         "at all proxies; the others ask them."},
        {"agreed", "election_ms", Type::whole, false, 100, 60'000, "1000", "",
         "Without a word of the leader for so long, up to twice, another one is elected."},
        {"agreed", "gone_counts_s", Type::number, false, 0, 86'400, "600", "",
         "A pop cache that the change log has called gone counts as out for so long, then as no member."},
        {"agreed", "proxies_school_out", Type::whole, false, 1, 1'000, "1", "",
         "So many proxies of a school may be out at once, for whatever reason; never its last."},
        {"agreed", "proxies_school_share", Type::number, false, 0, 1, "0.5", "",
         "And at most this share of a school by weight, where more than one is out."},
        {"agreed", "proxies_fleet_out", Type::whole, false, 1, 10'000, "4", "",
         "So many proxies of all may be out at once."},
        {"agreed", "proxies_between_s", Type::number, false, 0, 86'400, "0", "",
         "Seconds from one's return to the next one's leave, in a school."},
        {"agreed", "pop_caches_school_out", Type::whole, false, 1, 1'000, "1", "",
         "So many pop caches of a school may be out at once, for whatever reason; never its last."},
        {"agreed", "pop_caches_school_share", Type::number, false, 0, 1, "0.5", "",
         "And at most this share of a school by weight, where more than one is out."},
        {"agreed", "pop_caches_fleet_out", Type::whole, false, 1, 10'000, "4", "",
         "So many pop caches of all may be out at once."},
        {"agreed", "pop_caches_between_s", Type::number, false, 0, 86'400, "0", "",
         "Seconds from one's return to the next one's leave, in a school."},
        {"recovery", "folder", Type::path, false, 0, 0, "", "",
         "Where bans, the drain and the names of members are kept, on a disk that lasts. Of this proxy "
         "alone. Default: that of [saved_list]."},
        {"recovery", "ask_s", Type::number, false, 0.1, 60, "2", "",
         "How long a member that serves is asked for at a start before it is taken for a loss of power."},
        {"recovery", "settle_s", Type::number, false, 0.1, 600, "5", "",
         "How long the list and a leader of the agreed log are waited for then."},
        {"recovery", "prime_s", Type::number, false, 0.1, 3600, "60", "",
         "How long fills go by the budget after that, at the most; it ends sooner where nothing is turned "
         "away."},
        {"recovery", "pause_s", Type::number, false, 1, 600, "5", "",
         "A process that stood still for longer asks the others again before it vouches for purges."},
        {"recovery", "fills_per_s", Type::number, false, 1, kAny, "200", "",
         "Fills from the origin a second that all proxies together may begin while recovering: what it can "
         "bear."},
        {"recovery", "hub_fills_per_s", Type::number, false, 1, kAny, "1000", "",
         "The same of all fills from hubs: what they can bear once they are warm."},

        {"expectations", "file", Type::path, true, 0, 0, "", "", "The file of expectations."},
        {"expectations", "gate", Type::word, false, 0, 0, "\"warn\"", "start reload warn",
         "What a broken one does: `start` refuses to start, `reload` refuses a reload too, `warn` only says "
         "it."},
        {"expectations", "budget_s", Type::number, false, 0.1, 600, "20", "",
         "Seconds that a check may take. What was not checked by then is said in the log."},
    };
    return all;
}

}  // namespace sumackeel::config
