#include "coordination/internal/documentfetcher.h"

#include "observe/observe.h"

#include <utility>

namespace daisyhaven::coordination {

namespace {

constexpr Milliseconds ChunkTimeout { 1500 };

void logRefusal(std::uint64_t version, const Failure &failure)
{
    logEvent(Event::ChangeRefused, { { "version", version }, { "reason", toString(failure) } });
}

} // namespace

DocumentFetcher::DocumentFetcher(TimerService &timers, peer::ClientPool &clients, std::string vm,
                                 routing::DocumentParser parser, Source source, Callback callback)
    : timers_(timers), clients_(clients), vm_(std::move(vm)), parser_(parser),
      source_(std::move(source)), callback_(std::move(callback))
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
        startParse(document);
    }
}

void DocumentFetcher::resume()
{
    if (chunkRequested_ || parse_ || !download_.isNeeded()) {
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
        startParse(*document);
    } else if (download_.isUnderWay()) {
        // A replica that does not hold the version yet is not asked again at once.
        resume();
    }
}

void DocumentFetcher::startParse(const ConfigurationDocument &document)
{
    parse_ = PendingParse { document.version, document.text.size(), document.receivedBytes,
                            parser_(document.text) };
    parseTimer_ = timers_.runAfter(Duration(0), [this] { continueParse(); });
}

void DocumentFetcher::continueParse()
{
    routing::ParseProgress progress = parse_->step();
    if (std::holds_alternative<routing::ParsingContinues>(progress)) {
        parseTimer_ = timers_.runAfter(Duration(0), [this] { continueParse(); });
        return;
    }
    const PendingParse parsed = *std::exchange(parse_, std::nullopt);
    if (const auto *failure = std::get_if<Failure>(&progress)) {
        logRefusal(parsed.version, *failure);
    } else {
        logEvent(Event::ConfigurationFetched,
                 { { "version", parsed.version },
                   { "bytes", parsed.bytes },
                   { "receivedBytes", parsed.receivedBytes } });
        callback_(parsed.version,
                  std::make_shared<const routing::RoutingTable>(
                      std::get<routing::RoutingTable>(std::move(progress))));
    }
    resume();
}

} // namespace daisyhaven::coordination
