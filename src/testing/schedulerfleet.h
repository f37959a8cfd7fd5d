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

inline const Instant Start { Seconds(1000) };
constexpr double ColdPerSecond = 9;

// A scheduler with its virtual clock. Tests add backend servers, request slots and advance the
// clock.
class Fleet
{
public:
    explicit Fleet(Limits limits = {}, std::uint64_t seed = 1)
        : scheduler(1, limits, seed, Start - Seconds(10))
    {
    }

    void setTeams(const std::vector<routing::Team> &teams, const FirstTokens &initialTokens = {})
    {
        routing::TableParts parts;
        parts.services = { { "orders", "/", 100, Seconds(3), ColdPerSecond } };
        parts.teams = teams;
        auto table = attempt([&] { return routing::RoutingTable::make(std::move(parts)); });
        scheduler.setTable(now,
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
            info.coldUntil = now + coldStart;
            info.born = 1;
            scheduler.setServer(now, info);
        }
    }

    Question question()
    {
        Question request;
        request.key = { "vm", 1, ++lastNumber };
        request.service = "orders";
        request.route = "status";
        request.zone = "a";
        request.deadline = now + Seconds(2);
        request.target = now + Milliseconds(600);
        request.fingerprint = lastNumber;
        return request;
    }

    struct Answers
    {
        std::vector<Grant> grants;
        std::vector<Refusal> refusals;
    };

    Answers take()
    {
        Answers responses;
        for (const Action &action : scheduler.takeActions()) {
            if (const auto *grant = std::get_if<Grant>(&action)) {
                responses.grants.push_back(*grant);
            } else if (const auto *rejection = std::get_if<Refusal>(&action)) {
                responses.refusals.push_back(*rejection);
            }
        }
        return responses;
    }

    Answers ask(const Question &request)
    {
        scheduler.ask(now, request);
        return take();
    }

    void advance(Duration duration)
    {
        now += duration;
        scheduler.tick(now);
    }

    Instant now = Start;
    std::uint64_t lastNumber = 0;
    Scheduler scheduler;
};

} // namespace daisyhaven::scheduler
