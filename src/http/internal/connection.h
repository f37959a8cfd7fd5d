// The socket, output buffer and body framing that client and server connections share; private to
// the http package.
#pragma once

#include "http/http.h"

struct bufferevent;

namespace daisyhaven::http::internal {

class Transport
{
public:
    explicit Transport(bufferevent *connection) : connection_(connection) { }
    Transport(const Transport &) = delete;
    Transport &operator=(const Transport &) = delete;
    ~Transport();

    bufferevent *get() const { return connection_; }
    void write(std::string_view data);
    // Writes the start line and the header fields. `startLine` has no line end; with
    // `writeEmptyLength`, a message with Framing::None gets a Content-Length field.
    void writeHead(const std::string &startLine, const Headers &headers, Framing framing,
                   std::uint64_t length, bool writeEmptyLength);
    void writeBody(std::string_view data);
    void writeBodyEnd();
    std::size_t pendingOutput() const;
    void setReading(bool enabled);

private:
    bufferevent *connection_;
    Framing framing_ = Framing::None;
};

// Time for which a backend server may take none of the data that it was sent.
constexpr Milliseconds ServerStallLimit { 3000 };
// The same for a client. The kernel ends the connection also if the client, which may just be busy,
// acknowledges every probe and takes nothing, so the limit is that of ClientBudget.
constexpr Milliseconds ClientStallLimit = ClientBudget::ProgressPeriod;

// Sets the options of HTTP sockets: TCP_NODELAY, keep-alive probes and the time for which the peer
// may take none of the data that it was sent.
void setSocketOptions(int socket, Milliseconds stallLimit);

} // namespace daisyhaven::http::internal
