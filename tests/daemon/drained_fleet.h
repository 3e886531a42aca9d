// A fleet of which one cache drains by the change log, and a purge beside it: whether a proxy obeys both.
#pragma once

#include "saved_list.h"

namespace story {

// "Whatever the change log has to tell counts as told 7 s later at the latest"
inline constexpr std::chrono::seconds kToldWithin{7};

inline std::string purge_event(int seq) {
    const auto ms = wall_time().micros / 1000;
    return R"({"seq":)" + std::to_string(seq) + R"(,"invalidate":{"bucket":17,"time":)" + std::to_string(ms) +
           "}}";
}

// Two pop caches, of which the first drains in the change log's second life.
struct DrainedFleet {
    Box drained, serving, origin;
    std::vector<std::string> hosts(const std::string& health = "SERVING") {
        return {host_at("s-a", drained.address(), "small", health), host_at("s-b", serving.address()),
                host_at("s-origin", origin.address(), "origin")};
    }
    // The whole list, then purges of a group that nobody asks for up to that number.
    void begin_life(ChangeLog& log, int last_number) {
        log.tell(1, fleet(1, true, hosts()));
        for (int seq = 2; seq <= last_number; ++seq)
            log.tell(seq, R"({"seq":)" + std::to_string(seq) + R"(,"invalidate":{"bucket":3,"time":)" +
                              std::to_string(1'700'000'000'000 + last_number * 1000 + seq) + "}}");
    }
    void drain_and_purge(ChangeLog& log, int next_number) {
        log.tell(next_number, fleet(next_number, false, {hosts("DRAINING")[0]}));
        log.tell(next_number + 1, purge_event(next_number + 1));
    }
    // Whether requests come to limit the age of copies, and the drained cache to get no more of them.
    bool obeys(Wire& client, int& seqid) {
        const auto bound = std::chrono::steady_clock::now() + kToldWithin;
        int without_drained = 0;
        while (std::chrono::steady_clock::now() < bound) {
            const auto before = drained.count();
            ++seqid;
            CHECK(send_and_get_result(client, seqid, request_for("video", seqid)) == 0);
            const auto asked = serving.asked();
            const bool limited = !asked.empty() && asked.back().fields.contains("accept");
            without_drained = limited && drained.count() == before ? without_drained + 1 : 0;
            if (without_drained >= 30) return true;
            std::this_thread::sleep_for(std::chrono::milliseconds(10));
        }
        return false;
    }
};

}  // namespace story
