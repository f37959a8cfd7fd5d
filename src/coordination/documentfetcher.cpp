#include "coordination/internal/documentfetcher.h"

#include "observe/observe.h"

namespace daisyhaven::coordination {

namespace {

constexpr Milliseconds ChunkTimeout { 1500 };

void logRefusal(std::uint64_t version, const Failure &failure)
{
    logEvent(Event::ChangeRefused, { { "version", version }, { "reason", toString(failure) } });
}

} // namespace

DocumentFetcher::DocumentFetcher(peer::ClientPool &clients, std::string vm,
                                 routing::DocumentParser parser, Source source, Callback callback)
    : clients_(clients), vm_(std::move(vm)), parser_(parser), source_(std::move(source)),
      callback_(std::move(callback))
{
}

void DocumentFetcher::want(std::uint64_t version)
{
    if (parser_ != nullptr) {
        download_.want(version);
        resume();
    }
}

void DocumentFetcher::receive(const ConfigurationDocument &document)
{
    if (parser_ != nullptr) {
        download_.hold(document);
        parse(document);
    }
}

void DocumentFetcher::resume()
{
    if (chunkRequested_ || !download_.isNeeded()) {
        return;
    }
    chunkRequested_ = true;
    wire::DocumentRequest request = download_.nextRequest();
    request.set_vm(vm_);
    clients_.call<wire::DocumentChunk>(
        source_(), peer::Method::DownloadDocument, request, ChunkTimeout,
        [this](const peer::CallResult<wire::DocumentChunk> &result) {
            chunkRequested_ = false;
            if (const auto *chunk = std::get_if<wire::DocumentChunk>(&result)) {
                handleChunk(*chunk);
            }
        });
}

void DocumentFetcher::handleChunk(const wire::DocumentChunk &chunk)
{
    const auto added = attempt([&] { return download_.add(chunk); });
    if (const auto *failure = std::get_if<Failure>(&added)) {
        logRefusal(chunk.version(), *failure);
        return;
    }
    const auto &document = std::get<std::optional<ConfigurationDocument>>(added);
    if (document) {
        parse(*document);
    }
    // A replica that does not hold the version yet is not asked again at once.
    if (document || download_.isUnderWay()) {
        resume();
    }
}

void DocumentFetcher::parse(const ConfigurationDocument &document) const
{
    const auto table = attempt([&] { return parser_(document.text); });
    if (const auto *failure = std::get_if<Failure>(&table)) {
        logRefusal(document.version, *failure);
        return;
    }
    logEvent(Event::ConfigurationFetched,
             { { "version", document.version },
               { "bytes", document.text.size() },
               { "receivedBytes", document.receivedBytes } });
    callback_(
        document.version,
        std::make_shared<const routing::RoutingTable>(std::get<routing::RoutingTable>(table)));
}

} // namespace daisyhaven::coordination
