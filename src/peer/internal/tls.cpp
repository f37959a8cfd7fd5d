#include "peer/internal/session.h"

#include <openssl/err.h>
#include <openssl/ssl.h>

#include <algorithm>
#include <cstring>

namespace daisyhaven::peer::internal {

namespace {

constexpr const char *CipherList = "ECDHE-PSK-CHACHA20-POLY1305";
constexpr std::string_view VmPrefix = "vm:";
constexpr std::string_view OperatorPrefix = "operator:";

const Credentials *contextCredentials(SSL *ssl)
{
    return static_cast<const Credentials *>(SSL_CTX_get_app_data(SSL_get_SSL_CTX(ssl)));
}

bool startsWith(std::string_view text, std::string_view prefix)
{
    return text.substr(0, prefix.size()) == prefix;
}

unsigned int copyKey(const std::string &key, unsigned char *psk, unsigned int maxLength)
{
    if (key.empty() || key.size() > maxLength) {
        return 0;
    }
    std::copy(key.begin(), key.end(), psk);
    return static_cast<unsigned int>(key.size());
}

unsigned int selectServerKey(SSL *ssl, const char *identity, unsigned char *psk,
                             unsigned int maxLength)
{
    const Credentials *credentials = contextCredentials(ssl);
    const std::string_view name = identity;
    if (startsWith(name, VmPrefix)) {
        return copyKey(credentials->vmKey, psk, maxLength);
    }
    if (startsWith(name, OperatorPrefix)) {
        return copyKey(credentials->operatorKey, psk, maxLength);
    }
    return 0;
}

unsigned int selectClientKey(SSL *ssl, const char * /*hint*/, char *identity,
                             unsigned int maxIdentityLength, unsigned char *psk,
                             unsigned int maxLength)
{
    const Credentials *credentials = contextCredentials(ssl);
    const bool isVm = credentials->role == Role::Vm;
    const std::string name = std::string(isVm ? VmPrefix : OperatorPrefix) + credentials->name;
    if (name.size() >= maxIdentityLength) {
        return 0;
    }
    std::memcpy(identity, name.c_str(), name.size() + 1);
    return copyKey(isVm ? credentials->vmKey : credentials->operatorKey, psk, maxLength);
}

SslContext makeContext(const SSL_METHOD *method, const Credentials &credentials)
{
    SslContext context(SSL_CTX_new(method));
    SSL_CTX_set_min_proto_version(context.get(), TLS1_2_VERSION);
    SSL_CTX_set_max_proto_version(context.get(), TLS1_2_VERSION);
    SSL_CTX_set_cipher_list(context.get(), CipherList);
    SSL_CTX_set_app_data(context.get(), const_cast<Credentials *>(&credentials));
    SSL_CTX_set_options(context.get(), SSL_OP_NO_TICKET | SSL_OP_NO_RENEGOTIATION);
    return context;
}

} // namespace

void SslContextDeleter::operator()(ssl_ctx_st *context) const
{
    SSL_CTX_free(context);
}

SslContext makeServerContext(const Credentials &credentials)
{
    if (credentials.protection == Protection::None) {
        return {};
    }
    SslContext context = makeContext(TLS_server_method(), credentials);
    SSL_CTX_set_psk_server_callback(context.get(), &selectServerKey);
    return context;
}

SslContext makeClientContext(const Credentials &credentials)
{
    if (credentials.protection == Protection::None) {
        return {};
    }
    SslContext context = makeContext(TLS_client_method(), credentials);
    SSL_CTX_set_psk_client_callback(context.get(), &selectClientKey);
    return context;
}

} // namespace daisyhaven::peer::internal
