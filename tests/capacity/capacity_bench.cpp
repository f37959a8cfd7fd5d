// Slopes for docs/CAPACITY.md: memory, processor time and bytes against size, by packages.
#include "configuration/configuration.h"
#include "dispatch/dispatch.h"
#include "lease/lease.h"
#include "membership/membership.h"
#include "peer/generated/peer.pb.h"
#include "quota/quota.h"

#include <malloc.h>

#include <chrono>
#include <cstdio>
#include <functional>

namespace daisyhaven {
namespace {

double heapMegabytes()
{
    return static_cast<double>(mallinfo2().uordblks) / 1e6;
}

double microseconds(const std::function<void()> &work)
{
    const auto start = std::chrono::steady_clock::now();
    work();
    return std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - start)
        .count();
}

configuration::Publication publicationOf(int services, int routesEach, int teams)
{
    configuration::Publication publication;
    for (int i = 0; i < services; ++i) {
        configuration::Service service;
        service.name = "service-" + std::to_string(i);
        for (int j = 0; j < routesEach; ++j) {
            service.routes.push_back({ "GET",
                                       "/" + service.name + "/path-" + std::to_string(j) + "/",
                                       true, false, configuration::Priority::Normal, 2000, 0 });
        }
        publication.upsertedServices.push_back(std::move(service));
    }
    for (int i = 0; i < teams; ++i) {
        publication.upsertedTeams.push_back({ "team-" + std::to_string(i), 10, 20, 1 });
    }
    return publication;
}

// `share` of 1900 services with 9 routes each and 270000 teams with a key each.
void measureConfiguration(double share)
{
    const int services = static_cast<int>(1900 * share);
    const int teams = static_cast<int>(270'000 * share);
    const double before = heapMegabytes();
    configuration::ConfigurationStore store;
    {
        const auto publication = publicationOf(services, 9, teams);
        configuration::Configuration configuration;
        configuration.applyChange(publication);
        for (int i = 0; i < teams; ++i) {
            const std::string id = std::to_string(i);
            configuration.applyChange(
                configuration::KeyGrant { id, configuration::hashKey(id), "team-" + id });
        }
        store.replace(std::move(configuration));
    }
    const double megabytes = heapMegabytes() - before;
    std::size_t snapshotBytes = 0;
    const double snapshotTime = microseconds([&] {
        snapshotBytes = configuration::toSnapshot(store.current()).SerializeAsString().size();
    });
    constexpr int Changes = 1000;
    const double changeTime =
        microseconds([&] {
            for (int i = 0; i < Changes; ++i) {
                store.appendChange(
                    { "", "", 0,
                      configuration::KeyGrant { "x", configuration::hashKey("x"), "team-1" } });
            }
        })
        / Changes;
    const std::size_t deltaBytes = store.updateSince(store.version() - 1).ByteSizeLong();
    constexpr int Lookups = 100'000;
    const double routeTime = microseconds([&] {
                                 for (int i = 0; i < Lookups; ++i) {
                                     const std::string path =
                                         "/service-" + std::to_string(i % services) + "/path-3/x";
                                     if (!store.current().findRoute("GET", path)) {
                                         std::abort();
                                     }
                                 }
                             })
        / Lookups;
    std::printf("configuration %4.0f%%: %d routes, %d teams: %.1f MB heap, snapshot %.1f MB in "
                "%.0f ms, change %.1f us and %zu bytes, route lookup %.2f us\n",
                share * 100, services * 9, teams, megabytes,
                static_cast<double>(snapshotBytes) / 1e6, snapshotTime / 1000, changeTime,
                deltaBytes, routeTime);
}

// One dispatcher with `servers` backend servers of 4 slots.
void measureDispatcher(int servers)
{
    const Instant start { Seconds(1000) };
    const double before = heapMegabytes();
    dispatch::Options options;
    options.zone = "a";
    options.longestDeadline = Seconds(2);
    dispatch::Dispatcher dispatcher(options, 1, start);
    dispatcher.setEntryVmCount(14);
    for (int i = 0; i < servers; ++i) {
        dispatcher.handleAnnouncement(
            start, { "10.0.0." + std::to_string(i), 4, 350, 1, 0, dispatch::ServerState::Ready },
            Duration(0));
    }
    constexpr int Requests = 50'000;
    Instant now = start;
    const double each =
        microseconds([&] {
            for (int i = 0; i < Requests; ++i) {
                now += Duration(20);
                if (i % 1000 == 0) {
                    for (int s = 0; s < servers; ++s) {
                        dispatcher.handleAnnouncement(now,
                                                      { "10.0.0." + std::to_string(s), 4, 350, 1, 0,
                                                        dispatch::ServerState::Ready },
                                                      Duration(0));
                    }
                }
                dispatch::SlotRequest request;
                request.id = { "vm" + std::to_string(i % 14), 1, static_cast<std::uint64_t>(i) };
                request.team = "team" + std::to_string(i % 8);
                request.deadline = Seconds(2);
                request.maxWait = Milliseconds(100);
                request.idempotent = true;
                request.fingerprint = static_cast<std::uint64_t>(i);
                dispatcher.acquire(now, request);
                for (const dispatch::Action &action : dispatcher.takeActions()) {
                    if (const auto *grant = std::get_if<dispatch::Grant>(&action)) {
                        dispatcher.release(now, grant->slot, health::Outcome::Success,
                                           Milliseconds(30 + i % 20));
                    }
                }
            }
        })
        / Requests;
    constexpr int Ticks = 200;
    const double tick = microseconds([&] {
                            for (int i = 0; i < Ticks; ++i) {
                                now += Milliseconds(50);
                                dispatcher.tick(now);
                            }
                        })
        / Ticks;
    std::printf("dispatcher %3d servers: %.1f us a request, tick %.0f us, %.2f MB heap\n", servers,
                each, tick, heapMegabytes() - before);
}

// One voter that hears `members` VMs, of which a tenth hold or ask for leases.
void measureVoter(int members)
{
    const Instant start { Seconds(1000) };
    lease::LeaseVoter voter({}, start - Seconds(10), 0);
    membership::MemberTable table;
    for (int i = 0; i < members; ++i) {
        table.recordHeartbeat(start,
                              { "vm-" + std::to_string(i), 1, "zone-" + std::to_string(i % 9),
                                "10.0.0.1:7000", false, 7 });
    }
    constexpr int Pulses = 2000;
    std::size_t bytes = 0;
    const double heard =
        microseconds([&] {
            for (int i = 0; i < Pulses; ++i) {
                const std::string vm = "vm-" + std::to_string(i % members);
                table.recordHeartbeat(start, { vm, 1, "zone-1", "10.0.0.1:7000", false, 7 });
                if (i % 10 == 0) {
                    voter.processRequest(start, vm, 1,
                                         { "dispatch:s" + vm + ":zone-1", 1'000'000, false });
                }
            }
        })
        / Pulses;
    const double digest = microseconds([&] {
                              for (int i = 0; i < 100; ++i) {
                                  bytes += table.digest(start, Milliseconds(1500)) % 2;
                              }
                          })
        / 100;
    wire::PulseRequest request;
    request.mutable_member()->set_vm("vm-1234");
    request.mutable_member()->set_incarnation(1'764'800'000'000'000);
    request.mutable_member()->set_availability_zone("zone-1");
    request.mutable_member()->set_peer_address("10.0.0.1:7000");
    request.set_members_digest(1ULL << 60);
    request.set_leases_digest(1ULL << 60);
    wire::Member row = request.member();
    std::printf("voter %4d members: %.1f us a pulse, digest %.0f us, pulse %zu bytes, a member row "
                "%zu bytes\n",
                members, heard, digest, request.ByteSizeLong(), row.ByteSizeLong());
}

void measureQuota(int teams)
{
    const Instant start { Seconds(1000) };
    const double before = heapMegabytes();
    quota::QuotaOwner owner(start);
    for (int i = 0; i < teams; ++i) {
        owner.setTeam(start, { "team-" + std::to_string(i), 10, 20 });
    }
    const double megabytes = heapMegabytes() - before;
    constexpr int Questions = 100'000;
    Instant now = start + Seconds(10);
    const double each = microseconds([&] {
                            for (int i = 0; i < Questions; ++i) {
                                now += Duration(50);
                                owner.grantTokens(now,
                                                  { "team-" + std::to_string(i % teams),
                                                    "vm",
                                                    1,
                                                    static_cast<std::uint64_t>(i + 1),
                                                    2,
                                                    0,
                                                    Milliseconds(100),
                                                    {} });
                            }
                        })
        / Questions;
    std::printf("quota owner %6d teams: %.1f MB heap, %.2f us a question\n", teams, megabytes,
                each);
}

} // namespace
} // namespace daisyhaven

int main()
{
    for (const double share : { 0.1, 0.25, 0.5, 1.0 }) {
        daisyhaven::measureConfiguration(share);
    }
    for (const int servers : { 4, 12, 24, 48, 96 }) {
        daisyhaven::measureDispatcher(servers);
    }
    for (const int members : { 44, 430, 1000, 2150, 4300 }) {
        daisyhaven::measureVoter(members);
    }
    for (const int teams : { 1000, 10'000, 30'000 }) {
        daisyhaven::measureQuota(teams);
    }
    return 0;
}
