// Runs a scheduler in virtual time, for tests, with simulated backend servers and slot requests.
//
// Example:
//     SimulatedFleet fleet;
//     fleet.addServers(3, 2);
//     const auto grants = fleet.requestSlot(fleet.makeRequest()).grants;
#pragma once

#include "scheduler/scheduler.h"

#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace daisyhaven::scheduler {

inline const Instant StartTime { Seconds(1000) };
constexpr double ColdStartRequestsPerSecond = 9;

// A scheduler with its virtual clock. Tests add backend servers, request slots and advance the
// clock.
class SimulatedFleet
{
public:
    explicit SimulatedFleet(Limits limits = {}, std::uint64_t seed = 1)
        : scheduler(1, limits, seed, StartTime - Seconds(10))
    {
    }

    void setTeams(const std::vector<routing::Team> &teams, const InitialTokens &initialTokens = {})
    {
        routing::RoutingTableSpec parts;
        parts.services = { { "orders", "/", 100, Seconds(3), ColdStartRequestsPerSecond } };
        parts.teams = teams;
        auto table = attempt([&] { return routing::RoutingTable::create(std::move(parts)); });
        scheduler.setRoutingTable(now,
                                  std::make_shared<const routing::RoutingTable>(
                                      std::get<routing::RoutingTable>(std::move(table))),
                                  initialTokens);
    }

    void addServers(int count, std::uint32_t slots, const std::string &zone = "a",
                    Duration coldStart = Duration(0))
    {
        for (int i = 0; i < count; ++i) {
            ServerInfo info;
            info.id = zone + std::to_string(i);
            info.service = "orders";
            info.address = "10.0.0.1:" + std::to_string(1000 + i);
            info.zone = zone;
            info.slots = slots;
            info.coldStartUntil = now + coldStart;
            info.startTimeMs = 1;
            scheduler.addOrUpdateServer(now, info);
        }
    }

    SlotRequest makeRequest()
    {
        SlotRequest request;
        request.key = { "vm", 1, ++lastSequenceNumber };
        request.service = "orders";
        request.route = "status";
        request.zone = "a";
        request.deadline = now + Seconds(2);
        request.targetTime = now + Milliseconds(600);
        request.fingerprint = lastSequenceNumber;
        return request;
    }

    struct Responses
    {
        std::vector<Grant> grants;
        std::vector<Rejection> rejections;
    };

    Responses takeResponses()
    {
        Responses responses;
        for (const Action &action : scheduler.takeActions()) {
            if (const auto *grant = std::get_if<Grant>(&action)) {
                responses.grants.push_back(*grant);
            } else if (const auto *rejection = std::get_if<Rejection>(&action)) {
                responses.rejections.push_back(*rejection);
            }
        }
        return responses;
    }

    Responses requestSlot(const SlotRequest &request)
    {
        scheduler.requestSlot(now, request);
        return takeResponses();
    }

    void advance(Duration duration)
    {
        now += duration;
        scheduler.tick(now);
    }

    Instant now = StartTime;
    std::uint64_t lastSequenceNumber = 0;
    Scheduler scheduler;
};

} // namespace daisyhaven::scheduler
