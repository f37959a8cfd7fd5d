// Control VMs in one process, over loopback, for tests of ControlTask.
#pragma once

#include "coordination/coordination.h"
#include "testing/eventloop.h"

#include <gtest/gtest.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <filesystem>

namespace daisyhaven::testing {

// Reads any document but "invalid" as an empty table.
inline routing::DocumentParse readEmptyTable(std::string document)
{
    return [document = std::move(document)]() -> routing::ParseProgress {
        if (document == "invalid") {
            return Failure { ResultCode::DeclarationInvalid, "the test document is invalid" };
        }
        return routing::RoutingTable();
    };
}

class ControlTaskTest : public ::testing::Test
{
protected:
    static constexpr int Replicas = 3;

    ControlTaskTest() : base_(event_base_new()), timers_(base_.get()) { }

    ~ControlTaskTest() override
    {
        for (auto &replica : replicas_) {
            replica.reset();
        }
        std::filesystem::remove_all(folder_);
    }

    struct Replica
    {
        std::unique_ptr<peer::Server> server;
        std::unique_ptr<peer::ClientPool> clients;
        std::unique_ptr<coordination::ControlTask> task;
    };

    static peer::Credentials credentials()
    {
        return { peer::Role::Vm, "test", "", "", peer::Protection::None };
    }

    peer::Address addressOf(int replica) const
    {
        return { "127.0.0.1", static_cast<std::uint16_t>(port_ + replica) };
    }

    // Starts a replica with all replicas as seeds; without `listsItself`, with the others only, as
    // after an absence.
    void startReplica(int index, bool bootstrap, bool listsItself = true)
    {
        auto replica = std::make_unique<Replica>();
        replica->server = std::make_unique<peer::Server>(base_.get(), credentials());
        replica->clients = std::make_unique<peer::ClientPool>(base_.get(), timers_, credentials());
        coordination::ControlOptions options;
        options.vm = "control-" + std::to_string(index);
        options.ownAddress = addressOf(index);
        options.dataFolder = folder_ + "/" + std::to_string(index);
        for (int i = 0; i < Replicas; ++i) {
            if (i != index || listsItself) {
                options.seeds.push_back(addressOf(i));
            }
        }
        options.bootstrap = bootstrap;
        options.groupSize = Replicas;
        options.documentParser = &readEmptyTable;
        options.write = [this, index](int file, const void *bytes, std::size_t count) {
            if (fullDisks_.count(index) != 0) {
                errno = ENOSPC;
                return static_cast<ssize_t>(-1);
            }
            return ::write(file, bytes, count);
        };
        const auto started = attempt([&]() -> Result<bool> {
            BOOST_LEAF_CHECK(replica->server->listen(addressOf(index)));
            BOOST_LEAF_ASSIGN(
                replica->task,
                coordination::ControlTask::open(timers_, *replica->server, *replica->clients,
                                                options, [this](const Failure &) { ++stopped_; }));
            BOOST_LEAF_CHECK(replica->task->start());
            return true;
        });
        ASSERT_TRUE(std::holds_alternative<bool>(started))
            << addressOf(index).toString() << ": " << toString(std::get<Failure>(started));
        replicas_[static_cast<std::size_t>(index)] = std::move(replica);
    }

    void startAll()
    {
        for (int i = 0; i < Replicas; ++i) {
            startReplica(i, true);
        }
    }

    // Runs the event loop until `done` returns true or `limit` has passed. Returns done().
    bool runUntil(const std::function<bool()> &done, Duration limit = Seconds(10))
    {
        return testing::runUntil(base_.get(), timers_, done, limit);
    }

    coordination::ControlTask *leader()
    {
        for (auto &replica : replicas_) {
            if (replica && replica->task->metrics().at("daisyhaven_leads") == 1) {
                return replica->task.get();
            }
        }
        return nullptr;
    }

    // Returns the members that the leader knows, or 0 without a leader.
    double memberCount()
    {
        coordination::ControlTask *task = leader();
        return task == nullptr ? 0 : task->metrics().at("daisyhaven_control_members");
    }

    // Returns the log index of the latest change of members that the leader knows, or 0 without a
    // leader.
    double membershipIndex()
    {
        coordination::ControlTask *task = leader();
        return task == nullptr ? 0 : task->metrics().at("daisyhaven_control_membership_index");
    }

    // Returns whether the members have changed since `indexBefore` and all replicas hold the change
    // in their logs and count as members.
    bool allAgreeOnMembersSince(double indexBefore)
    {
        const double index = membershipIndex();
        return index > indexBefore
            && std::all_of(replicas_.begin(), replicas_.end(), [&](const auto &replica) {
                   const auto metrics = replica->task->metrics();
                   return metrics.at("daisyhaven_control_membership_index") == index
                       && metrics.at("daisyhaven_control_members") == Replicas;
               });
    }

    // Starts the replica again with an empty disk. Returns whether the group has taken its new
    // identity in place of the former one and was never smaller meanwhile.
    bool restartWithEmptyDisk(int index)
    {
        const double indexBefore = membershipIndex();
        replicas_[static_cast<std::size_t>(index)].reset();
        std::filesystem::remove_all(folder_ + "/" + std::to_string(index));
        startReplica(index, false);
        bool wasSmaller = false;
        const bool replaced = runUntil([&] {
            wasSmaller = wasSmaller || (leader() != nullptr && memberCount() < Replicas);
            return allAgreeOnMembersSince(indexBefore);
        });
        return replaced && !wasSmaller;
    }

    // Sends a configuration to the current leader, with retries, until it is confirmed.
    bool put(std::uint64_t version, const std::string &document)
    {
        bool confirmed = false;
        bool pending = false;
        return runUntil([&] {
            coordination::ControlTask *task = confirmed || pending ? nullptr : leader();
            if (task != nullptr) {
                pending = true;
                task->putConfiguration(
                    version, document, [&](const coordination::ChangeOutcome &outcome) {
                        pending = false;
                        confirmed = std::holds_alternative<coordination::Committed>(outcome);
                    });
            }
            return confirmed;
        });
    }

    std::string read()
    {
        std::string document;
        runUntil([&] {
            coordination::ControlTask *task = leader();
            if (task != nullptr) {
                const auto stored = task->readConfiguration();
                if (const auto *found = std::get_if<coordination::StoredConfiguration>(&stored)) {
                    document = found->document;
                }
            }
            return !document.empty();
        });
        return document;
    }

    EventBase base_;
    TimerService timers_;
    // Below the range from which the kernel takes ports of outgoing connections.
    int port_ = 20000 + (::getpid() % 1500) * 8;
    std::string folder_ = std::filesystem::temp_directory_path().string() + "/coordination-"
        + std::to_string(::getpid());
    std::array<std::unique_ptr<Replica>, Replicas> replicas_;
    // Replicas whose disks are full.
    std::set<int> fullDisks_;
    int stopped_ = 0;
};

} // namespace daisyhaven::testing
