// Download of the configuration document by one VM: one chunk at a time, so that a slow link is
// never behind by more than a chunk. A download that is under way is finished even if a newer
// version exists by then; otherwise changes in quick succession would starve it.
#pragma once

#include "peer/generated/peer.pb.h"
#include "result/result.h"

#include <cstdint>
#include <optional>
#include <string>

namespace daisyhaven::coordination {

struct ConfigurationDocument
{
    std::uint64_t version = 0;
    std::string text;
    // Bytes that were received for it.
    std::size_t receivedBytes = 0;

    friend bool operator==(const ConfigurationDocument &a, const ConfigurationDocument &b)
    {
        return a.version == b.version && a.text == b.text;
    }
};

class DocumentDownload
{
public:
    // Records that `version` exists.
    void want(std::uint64_t version);

    // Holds a document that was received by other means.
    void hold(ConfigurationDocument document);

    // Returns whether a newer version exists than the one that is held, if one is.
    bool isNeeded() const { return wantedVersion_ > heldVersion(); }

    // Returns whether a part of the needed version was received.
    bool isUnderWay() const { return !received_.empty(); }

    wire::DocumentRequest nextRequest() const;

    // Adds a chunk. Returns the document once it is complete; it is held from then on as the base
    // of the next update. Errors: PeerProtocol if the update is damaged; the next request then
    // starts over with the whole document.
    Result<std::optional<ConfigurationDocument>> add(const wire::DocumentChunk &chunk);

private:
    using OptionalVersion = std::optional<std::uint64_t>;

    OptionalVersion heldVersion() const
    {
        return held_ ? OptionalVersion(held_->version) : std::nullopt;
    }
    void startOver(OptionalVersion baseVersion, OptionalVersion version);
    Result<ConfigurationDocument> decode() const;

    std::optional<ConfigurationDocument> held_;
    OptionalVersion wantedVersion_;
    // Base that the next requests name: the held version, or none after a damaged update.
    OptionalVersion baseVersion_;
    // Version of the update under way; empty while none is.
    OptionalVersion version_;
    std::string received_;
};

} // namespace daisyhaven::coordination
