// Lists of endpoints saved on disk, and requests to a proxy that starts from one.
#pragma once

#include <doctest/doctest.h>

#include <filesystem>

#include "base/clock.h"
#include "cache_stub.h"
#include "endpoint_snapshot/snapshot_directory.h"

namespace story {

using sumackeel::base::kSecond;
using sumackeel::base::Micros;
using sumackeel::endpoints::NameTables;
using sumackeel::endpoints::Snapshot;
using sumackeel::routing::EndpointState;

inline const NameTables kNames{{"coast", "edge-1"}, {"small", "parent", "origin"}};

inline sumackeel::base::UnixTime wall_time() {
    return sumackeel::base::Clock().unix_now();
}

struct Entry {
    std::string name;
    std::string address;
    int kind = 0;  // index into kNames
    EndpointState state = EndpointState::ready;
    // Time from the last response to the last confirmation of the list; negative: never responded.
    Micros answered = 0;
};

// A list as a proxy saved it `age` ago.
inline Snapshot list_of(const std::vector<Entry>& entries, Micros age, std::int64_t seq = 40) {
    Snapshot list;
    list.site = "school";
    list.taken_at = wall_time() - age;
    list.confirmed_age = 0;
    list.last_sequence = seq;
    list.full_list_sequence = 1;
    for (const Entry& entry : entries) {
        sumackeel::endpoints::EndpointRecord record;
        record.sequence = seq;
        record.located.address = entry.address;
        record.located.endpoint = {.name = entry.name,
                                   .weight = 8,
                                   .state = entry.state,
                                   .zone = entry.kind == 0 ? 1 : 0,
                                   .started_at = 0,
                                   .kind = entry.kind,
                                   .cell = 1,
                                   .unverified = false};
        list.endpoints.push_back(
            {std::make_shared<const sumackeel::endpoints::EndpointRecord>(record), entry.answered});
    }
    return list;
}

// A folder with one saved list, and the settings that point to it.
struct SavedList {
    Folder folder;
    sumackeel::config::Operator operator_config;

    explicit SavedList(const Snapshot* list = nullptr) {
        operator_config.endpoint_snapshot.emplace();
        operator_config.endpoint_snapshot->folder = folder.path() + "/list";
        operator_config.endpoint_snapshot->site = "school";
        operator_config.endpoint_snapshot->save_every = 20'000;
        operator_config.endpoint_snapshot->refresh = 100'000;
        if (list) put(*list, 1);
    }
    void put(const Snapshot& list, std::uint64_t generation) const {
        const sumackeel::endpoint_snapshot::SnapshotDirectory at(operator_config.endpoint_snapshot->folder);
        REQUIRE(at.write(encode(list, kNames), generation, 0) == "");
    }
    sumackeel::endpoint_snapshot::LoadedSnapshot read() const {
        return sumackeel::endpoint_snapshot::SnapshotDirectory(operator_config.endpoint_snapshot->folder)
            .read(kNames, "school", wall_time());
    }
    // Waits until the saved list satisfies `holds`.
    template <typename Holds>
    bool wait_until(Holds holds) const {
        const auto bound = std::chrono::steady_clock::now() + std::chrono::milliseconds(kBoundMs);
        while (std::chrono::steady_clock::now() < bound) {
            const auto found = read();
            if (found.snapshot && holds(*found.snapshot)) return true;
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
        }
        return false;
    }
};

inline std::string id_of(int number) {
    char text[17];
    snprintf(text, sizeof text, "%016x", number);
    return text;
}

inline Fields request_for(const std::string& kind, int number, double need = 40) {
    Fields fields = read(kind, id_of(number));
    fields["subject"] = id_of(1'000'000 + number);  // a distinct object for each number
    fields["need"] = std::to_string(need);
    return fields;
}

// Sends one request and returns the index of its result: 0 Answer, 1 Busy, 2 Failed.
inline int send_and_get_result(Wire& client, int seqid, const Fields& fields) {
    client.send(dispatch(seqid, fields));
    return read_reply(client).place;
}

// An address on which nothing listens.
inline std::string unused_address() {
    static const HeldPort held;
    return held.address();
}

}  // namespace story
