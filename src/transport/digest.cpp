#include <hyssopdeal/transport/digest.hpp>

#include <array>

#include <sys/random.h>

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>
#include <openssl/sha.h>

namespace hyssopdeal::transport
{

namespace
{

constexpr std::string_view hex_digits = "0123456789abcdef";

const unsigned char* as_bytes(std::string_view text) noexcept
{
    return reinterpret_cast<const unsigned char*>(text.data());
}

} // namespace

std::string sha256_hex(std::string_view bytes)
{
    std::array<unsigned char, sha256_bytes> digest{};
    SHA256(as_bytes(bytes), bytes.size(), digest.data());
    return to_hex(
        {reinterpret_cast<const char*>(digest.data()), digest.size()});
}

std::string hmac_sha256(std::string_view key, std::string_view bytes)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int size = 0;
    HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
         as_bytes(bytes), bytes.size(), digest.data(), &size);
    return {digest.begin(), digest.begin() + size};
}

std::string to_hex(std::string_view bytes)
{
    std::string text;
    text.reserve(bytes.size() * 2);
    for (const char letter : bytes)
    {
        const auto value = static_cast<unsigned char>(letter);
        text += hex_digits[value >> 4U];
        text += hex_digits[value & 0xfU];
    }
    return text;
}

std::uint64_t random_seed()
{
    std::uint64_t seed = 0;
    // Fails only for arguments that are not used here.
    (void)::getrandom(&seed, sizeof(seed), 0);
    return seed;
}

std::string random_bytes(std::size_t count)
{
    std::string bytes(count, '\0');
    const auto made = RAND_bytes(reinterpret_cast<unsigned char*>(bytes.data()),
                                 static_cast<int>(bytes.size()));
    return made == 1 ? bytes : std::string{};
}

bool same_secret(std::string_view left, std::string_view right) noexcept
{
    return left.size() == right.size() &&
           CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

} // namespace hyssopdeal::transport
