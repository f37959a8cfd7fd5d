// The latest versions of the configuration document on a control VM, as updates that VMs download
// in chunks. Every replica keeps them, so a download continues at another replica.
#pragma once

#include "peer/generated/peer.pb.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>

namespace daisyhaven::coordination {

class DocumentHistory
{
public:
    // Bytes of an update in one response: a fraction of a second on a slow link.
    static constexpr std::size_t ChunkBytes = 32UL * 1024;
    // Bounds of the memory that is held. The newest document is always kept.
    static constexpr std::size_t MaxDocuments = 8;
    static constexpr std::size_t MaxDocumentBytes = 16UL * 1024 * 1024;
    static constexpr std::size_t MaxUpdateBytes = 16UL * 1024 * 1024;

    // Adds a committed version. Versions that are not newer than the last one are ignored.
    void add(std::uint64_t version, const std::string &document);

    // Returns the requested part of an update, or the first part of the update to the newest
    // version if the requested one is not held. Returns a chunk without a version if there is no
    // document.
    wire::DocumentChunk chunk(const wire::DocumentRequest &request);

    // Returns the bytes of all documents and encoded updates.
    std::size_t bytes() const;

private:
    struct Document
    {
        std::uint64_t version = 0;
        std::string text;
    };

    // Versions before and after an update; the first is empty for a whole document.
    using Step = std::pair<std::optional<std::uint64_t>, std::uint64_t>;

    // Returns null if there is no version or the document is not held.
    const Document *find(const std::optional<std::uint64_t> &version) const;
    const std::string &encodedUpdate(const Step &step);
    void dropOldDocuments();
    void dropOldUpdates();

    std::deque<Document> documents_;
    std::size_t documentBytes_ = 0;
    std::map<Step, std::string> updates_;
    // Keys of `updates_`, oldest first.
    std::deque<Step> updateOrder_;
    std::size_t updateBytes_ = 0;
};

} // namespace daisyhaven::coordination
