// The socket, output buffer and body framing that client and server connections share; private to
// the http package.
#pragma once

#include "http/http.h"
#include "http/internal/deliverywatch.h"

#include <memory>

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
    // Watches from now on whether the peer takes the output. The socket is connected.
    void watchDelivery(Milliseconds stallLimit, DeliveryWatch::Callbacks callbacks);
    // Returns the bytes that the peer has not taken yet, those in the kernel included.
    std::size_t undeliveredOutput() const;
    // Lets the kernel take the pending output as far as it allows. It delivers what it has taken
    // also after the end of the process.
    void handOverOutput();
    void setReading(bool enabled);

private:
    bufferevent *connection_;
    std::unique_ptr<DeliveryWatch> deliveryWatch_;
    Framing framing_ = Framing::None;
};

// Time for which a backend server may take none of the data that it was sent.
constexpr Milliseconds ServerStallLimit { 3000 };
// The same for a client, with the limit of ClientBudget.
constexpr Milliseconds ClientStallLimit = ClientBudget::ProgressPeriod;

// Sets the options of HTTP sockets: TCP_NODELAY and keep-alive probes.
void setSocketOptions(int socket);

} // namespace daisyhaven::http::internal
