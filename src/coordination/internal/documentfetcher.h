// Keeps one VM's configuration document up to date: downloads new versions from replicas of the
// control group and parses them.
#pragma once

#include "coordination/internal/documentdownload.h"
#include "peer/peer.h"
#include "routing/routing.h"
#include "timer/timer.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace daisyhaven::coordination {

class DocumentFetcher
{
public:
    // Returns the replica to ask for the next chunk.
    using Source = std::function<peer::Address()>;
    // Called with each version that was received and parsed.
    using Callback = std::function<void(std::uint64_t version,
                                        const std::shared_ptr<const routing::RoutingTable> &table)>;

    // A client without `parser` needs no documents and never asks for any.
    DocumentFetcher(TimerService &timers, peer::ClientPool &clients, std::string vm,
                    routing::DocumentParser parser, Source source, Callback callback);

    // Records that `version` exists, and starts its download if it is newer.
    void want(std::uint64_t version);

    // Takes a document that came with a view, as control VMs of an earlier release send it.
    void receive(const ConfigurationDocument &document);

    // Requests the next chunk, unless a request is pending, a document is being parsed or nothing
    // is needed.
    void resume();

private:
    void handleChunk(const wire::DocumentChunk &chunk);
    void startParse(const ConfigurationDocument &document);
    void continueParse();

    // A document that is being parsed, one step in each turn of the event loop.
    struct PendingParse
    {
        std::uint64_t version = 0;
        std::size_t bytes = 0;
        std::size_t receivedBytes = 0;
        routing::DocumentParse step;
    };

    TimerService &timers_;
    peer::ClientPool &clients_;
    std::string vm_;
    routing::DocumentParser parser_;
    Source source_;
    Callback callback_;
    DocumentDownload download_;
    bool chunkRequested_ = false;
    std::optional<PendingParse> parse_;
    TimerHandle parseTimer_;
};

} // namespace daisyhaven::coordination
