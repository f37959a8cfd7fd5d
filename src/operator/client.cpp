#include "operator/operator.h"

#include "peer/generated/peer.pb.h"

#include <event2/event.h>
#include <openssl/rand.h>

#include <array>
#include <thread>

namespace daisyhaven::operations {

namespace {

constexpr Milliseconds CallTimeout { 7000 };
constexpr Milliseconds StatusTimeout { 1500 };
constexpr Milliseconds RetryDelay { 100 };
constexpr Milliseconds PollInterval { 20 };
constexpr Seconds WriteTimeout { 15 };
constexpr Seconds LeaderDiscoveryTimeout { 5 };
constexpr Seconds InForceTimeout { 10 };
constexpr std::size_t OperationIdBytes = 12;

struct EventBaseDeleter
{
    void operator()(event_base *base) const { event_base_free(base); }
};

std::string unknownOutcomeHint(const std::string &operationId)
{
    return "retry with --operation " + operationId + " to learn the outcome";
}

} // namespace

std::string newOperationId()
{
    std::array<unsigned char, OperationIdBytes> bytes {};
    RAND_bytes(bytes.data(), static_cast<int>(bytes.size()));
    std::string text;
    for (const unsigned char byte : bytes) {
        std::array<char, 3> digits {};
        std::snprintf(digits.data(), digits.size(), "%02x", byte);
        text += digits.data();
    }
    return text;
}

class OperatorClient::Impl
{
public:
    Impl(const settings::FleetSettings &fleet, const std::string &name)
        : fleet_(fleet), base_(event_base_new()), timers_(base_.get()),
          clients_(base_.get(), timers_, { peer::Role::Operator, name, "", fleet.operatorKey })
    {
    }

    // Sends a request and runs the event loop until the response or a failure arrives.
    template <class Message>
    peer::CallResult<Message> call(const peer::Address &address, peer::Method method,
                                   const google::protobuf::MessageLite &request, Duration timeout)
    {
        std::optional<peer::CallResult<Message>> response;
        clients_.call<Message>(address, method, request, timeout,
                               [&](peer::CallResult<Message> result) {
                                   response = std::move(result);
                                   event_base_loopbreak(base_.get());
                               });
        while (!response) {
            event_base_dispatch(base_.get());
        }
        return *response;
    }

    Result<wire::StatusReply> requestStatus(const peer::Address &address,
                                            const wire::StatusRequest &request)
    {
        auto response =
            call<wire::StatusReply>(address, peer::Method::Status, request, StatusTimeout);
        if (const auto *failure = std::get_if<Failure>(&response)) {
            return boost::leaf::new_error(*failure);
        }
        return std::get<wire::StatusReply>(response);
    }

    // Finds the control leader, including a leader that is not in the fleet file but whose address
    // another replica reports.
    Result<peer::Address> findLeader()
    {
        const Instant deadline = timers_.now() + LeaderDiscoveryTimeout;
        std::string reason = "no control VM responded";
        while (timers_.now() < deadline) {
            for (const settings::VmEndpoint &vm : fleet_.controlVms) {
                const auto statusResult =
                    attempt([&] { return requestStatus(vm.peerAddress, {}); });
                if (const auto *failure = std::get_if<Failure>(&statusResult)) {
                    const bool unauthorized = failure->code == ResultCode::PeerUnauthorized;
                    reason = unauthorized ? toString(*failure) : reason;
                    continue;
                }
                const auto &status = std::get<wire::StatusReply>(statusResult);
                if (status.leader()) {
                    return vm.peerAddress;
                }
                if (!status.leader_address().empty() && status.leader_vm() != status.vm()) {
                    const auto reported = attempt([&]() -> Result<peer::Address> {
                        BOOST_LEAF_AUTO(address, peer::parseAddress(status.leader_address()));
                        BOOST_LEAF_AUTO(confirmed, requestStatus(address, {}));
                        if (!confirmed.leader()) {
                            return fail(ResultCode::NotLeader, "");
                        }
                        return address;
                    });
                    if (const auto *address = std::get_if<peer::Address>(&reported)) {
                        return *address;
                    }
                }
                reason = "the control VMs have no leader";
            }
            std::this_thread::sleep_for(RetryDelay);
        }
        return fail(ResultCode::ControlUnavailable, reason);
    }

    Result<wire::OperatorWriteReply> sendWrite(const wire::OperatorWrite &request)
    {
        const Instant deadline = timers_.now() + WriteTimeout;
        bool mayHaveBeenSent = false;
        const std::string hint = unknownOutcomeHint(request.change().operation_id());
        while (timers_.now() < deadline) {
            const auto leader = attempt([&] { return findLeader(); });
            if (const auto *failure = std::get_if<Failure>(&leader)) {
                if (mayHaveBeenSent) {
                    return fail(ResultCode::OperationOutcomeUnknown, hint);
                }
                return boost::leaf::new_error(*failure);
            }
            auto response = call<wire::OperatorWriteReply>(
                std::get<peer::Address>(leader), peer::Method::OperatorWrite, request, CallTimeout);
            if (auto *reply = std::get_if<wire::OperatorWriteReply>(&response)) {
                return *reply;
            }
            const Failure failure = std::get<Failure>(response);
            const bool retryable = failure.code == ResultCode::NotLeader
                || failure.code == ResultCode::PeerUnreachable
                || failure.code == ResultCode::PeerTimeout
                || failure.code == ResultCode::OperationOutcomeUnknown;
            if (!retryable) {
                return boost::leaf::new_error(failure);
            }
            const bool unknown = failure.code == ResultCode::PeerTimeout
                || failure.code == ResultCode::OperationOutcomeUnknown;
            mayHaveBeenSent = mayHaveBeenSent || unknown;
            std::this_thread::sleep_for(RetryDelay);
        }
        return fail(mayHaveBeenSent ? ResultCode::OperationOutcomeUnknown
                                    : ResultCode::ControlUnavailable,
                    mayHaveBeenSent ? hint : "no control leader accepted the write");
    }

    Result<WriteResult> write(const configuration::Change &change, bool force, bool wait)
    {
        const Instant startedAt = timers_.now();
        wire::OperatorWrite request;
        *request.mutable_change() = configuration::toWire(change);
        request.set_force(force);
        BOOST_LEAF_AUTO(reply, sendWrite(request));
        const auto code = static_cast<ResultCode>(reply.result());
        if (code == ResultCode::VersionConflict) {
            std::string detail = reply.detail();
            if (!reply.conflict_author().empty()) {
                detail += "; newest change by " + reply.conflict_author() + ": "
                    + reply.conflict_summary();
            }
            return fail(code, detail);
        }
        if (code != ResultCode::Ok) {
            return fail(code, reply.detail());
        }
        WriteResult report;
        report.version = reply.version();
        report.acceptedAfter = timers_.now() - startedAt;
        if (wait) {
            waitUntilInForce(startedAt, report);
        }
        return report;
    }

    void waitUntilInForce(Instant startedAt, WriteResult &report)
    {
        const Instant deadline = timers_.now() + InForceTimeout;
        while (timers_.now() < deadline) {
            const auto statusResult = attempt([&]() -> Result<wire::StatusReply> {
                BOOST_LEAF_AUTO(leader, findLeader());
                return requestStatus(leader, {});
            });
            const auto *status = std::get_if<wire::StatusReply>(&statusResult);
            if (status != nullptr && status->in_force_version() >= report.version) {
                report.inForceEverywhere = true;
                report.inForceAfter = timers_.now() - startedAt;
                return;
            }
            std::this_thread::sleep_for(PollInterval);
        }
    }

    settings::FleetSettings fleet_;
    std::unique_ptr<event_base, EventBaseDeleter> base_;
    TimerService timers_;
    peer::ClientPool clients_;
};

OperatorClient::OperatorClient(const settings::FleetSettings &fleet, const std::string &name)
    : impl_(std::make_unique<Impl>(fleet, name))
{
}

OperatorClient::~OperatorClient() = default;

Result<wire::StatusReply> OperatorClient::status(bool includeConfiguration, bool includeSummaries)
{
    wire::StatusRequest request;
    request.set_include_configuration(includeConfiguration);
    request.set_include_summaries(includeSummaries);
    BOOST_LEAF_AUTO(leader, impl_->findLeader());
    return impl_->requestStatus(leader, request);
}

Result<wire::StatusReply> OperatorClient::controlVmStatus(const std::string &vm)
{
    for (const settings::VmEndpoint &control : impl_->fleet_.controlVms) {
        if (control.id == vm) {
            return impl_->requestStatus(control.peerAddress, {});
        }
    }
    return fail(ResultCode::UnknownVm, vm + " is not a control VM in the fleet file");
}

Result<WriteResult> OperatorClient::write(const configuration::Change &change, bool force,
                                          bool wait)
{
    return impl_->write(change, force, wait);
}

Result<void> OperatorClient::changeControlMember(const std::string &vm, const std::string &identity,
                                                 const std::string &peerAddress, bool remove)
{
    BOOST_LEAF_AUTO(leader, impl_->findLeader());
    wire::AddControlRequest request;
    request.set_remove(remove);
    request.mutable_member()->set_vm(vm);
    request.mutable_member()->set_identity(identity);
    request.mutable_member()->set_peer_address(peerAddress);
    auto response =
        impl_->call<wire::Empty>(leader, peer::Method::ChangeControlMember, request, CallTimeout);
    if (const auto *failure = std::get_if<Failure>(&response)) {
        return boost::leaf::new_error(*failure);
    }
    return {};
}

} // namespace daisyhaven::operations
