#include "coordination/internal/vmregistry.h"

#include <algorithm>
#include <iterator>

namespace daisyhaven::coordination {

namespace {

// An entry VM that has sent no request for this long holds no slots and no connection.
constexpr Seconds VmRetention { 12 };
constexpr Seconds RecentWindow { 3 };
// An entry VM that has sent no request for this long picks servers without the leader.
constexpr Milliseconds UnreachableAfter { 1000 };
// Enough that one of them most likely reaches the leader when nine in ten VMs do not.
constexpr std::size_t RelaysPerVm = 32;
// Enough to spread the requests of the VMs that are disconnected from servers.
constexpr std::size_t RequestRelaysPerVm = 16;
constexpr std::size_t MinProvenRelays = 4;
constexpr Seconds SuccessWindow { 3 };

} // namespace

void VmRegistry::recordContact(Instant now, const VmContact &contact)
{
    VmState &vm = vms_[contact.vm];
    vm.lastContactAt = now;
    if (!contact.relayed) {
        vm.lastDirectContactAt = now;
        vm.relayAddress = contact.relayAddress;
        vm.requestRelay = contact.requestRelay;
    }
    vm.disconnected = contact.disconnected;
}

void VmRegistry::recordSuccess(Instant now, const std::string &vm)
{
    const auto known = vms_.find(vm);
    if (known != vms_.end()) {
        known->second.lastSuccessAt = now;
    }
}

void VmRegistry::removeExpired(Instant now,
                               const std::function<void(const std::string &vm)> &removed)
{
    for (auto vm = vms_.begin(); vm != vms_.end();) {
        if (now - vm->second.lastContactAt <= VmRetention) {
            ++vm;
            continue;
        }
        removed(vm->first);
        vm = vms_.erase(vm);
    }
}

std::size_t VmRegistry::countContactedSince(Instant since) const
{
    return static_cast<std::size_t>(std::count_if(vms_.begin(), vms_.end(), [&](const auto &vm) {
        return vm.second.lastContactAt >= since;
    }));
}

std::size_t VmRegistry::recentCount(Instant now) const
{
    return countContactedSince(now - RecentWindow);
}

double VmRegistry::unreachableShare(Instant now) const
{
    if (vms_.empty()) {
        return 0;
    }
    const std::size_t reachable = countContactedSince(now - UnreachableAfter);
    return static_cast<double>(vms_.size() - reachable) / static_cast<double>(vms_.size());
}

std::vector<std::string> VmRegistry::pickRelays(Instant now, const std::string &vm,
                                                std::mt19937_64 &random) const
{
    std::vector<std::string> usable;
    for (const auto &[name, state] : vms_) {
        const bool isDirect = now - state.lastDirectContactAt < UnreachableAfter;
        if (isDirect && !state.relayAddress.empty() && name != vm) {
            usable.push_back(state.relayAddress);
        }
    }
    std::vector<std::string> picked;
    std::sample(usable.begin(), usable.end(), std::back_inserter(picked), RelaysPerVm, random);
    std::shuffle(picked.begin(), picked.end(), random);
    return picked;
}

std::vector<RequestRelay> VmRegistry::pickRequestRelays(Instant now, const std::string &vm,
                                                        std::mt19937_64 &random) const
{
    std::vector<RequestRelay> proven;
    std::vector<RequestRelay> others;
    for (const auto &[name, state] : vms_) {
        const bool isDirect = now - state.lastDirectContactAt < UnreachableAfter;
        const bool usable = isDirect && !state.disconnected && !state.requestRelay.address.empty();
        if (usable && name != vm) {
            const bool succeeds = now - state.lastSuccessAt < SuccessWindow;
            (succeeds ? proven : others).push_back(state.requestRelay);
        }
    }
    std::vector<RequestRelay> picked;
    std::sample(proven.begin(), proven.end(), std::back_inserter(picked), RequestRelaysPerVm,
                random);
    if (picked.size() < MinProvenRelays) {
        std::sample(others.begin(), others.end(), std::back_inserter(picked),
                    RequestRelaysPerVm - picked.size(), random);
    }
    return picked;
}

} // namespace daisyhaven::coordination
