// The entry VMs that send requests to the leader, directly or through a relay.
#pragma once

#include "coordination/coordination.h"
#include "timer/timer.h"

#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace daisyhaven::coordination {

// How a request of a VM reached the leader.
struct VmContact
{
    std::string vm;
    // Address at which the VM forwards calls of other VMs; empty if it forwards none.
    std::string relayAddress;
    // Another VM forwarded the request.
    bool relayed = false;
    // The VM as a relay of requests; without an address it is none.
    RequestRelay requestRelay = {};
    // The VM reaches no server of at least one service.
    bool disconnected = false;
};

class VmRegistry
{
public:
    void recordContact(Instant now, const VmContact &contact);
    // Records that a server responded to a request of the VM.
    void recordSuccess(Instant now, const std::string &vm);
    // Removes the VMs that have sent no request for so long that they hold no slots, and calls
    // `removed` for each.
    void removeExpired(Instant now, const std::function<void(const std::string &vm)> &removed);
    std::size_t size() const { return vms_.size(); }
    // Number of VMs that sent a request within the last seconds.
    std::size_t recentCount(Instant now) const;
    // Fraction of the known VMs that currently pick servers without the leader.
    double unreachableShare(Instant now) const;
    // Returns addresses of VMs that reach the leader directly, chosen at random, without `vm`.
    std::vector<std::string> pickRelays(Instant now, const std::string &vm,
                                        std::mt19937_64 &random) const;
    // Returns VMs that reach servers, chosen at random, without `vm`. Those to which servers
    // responded lately are preferred.
    std::vector<RequestRelay> pickRequestRelays(Instant now, const std::string &vm,
                                                std::mt19937_64 &random) const;

private:
    struct VmState
    {
        Instant lastContactAt;
        Instant lastDirectContactAt;
        Instant lastSuccessAt;
        std::string relayAddress;
        RequestRelay requestRelay;
        bool disconnected = false;
    };

    std::size_t countContactedSince(Instant since) const;

    std::map<std::string, VmState> vms_;
};

} // namespace daisyhaven::coordination
