// Framing of HTTP/1.1 requests: RFC 9112, sections 2 to 7.
#include "transport/internal/message_scanner.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>

namespace jackdaw::transport::internal {
namespace {

    constexpr std::size_t maxEmptyLineBytes = 8; // RFC 9112 asks for one empty line before a request to be ignored
    constexpr std::size_t maxHeaderLines = 100; // the parser takes some 150 bytes for a header, however short
    constexpr std::size_t maxRequestLineBytes = 8000; // as RFC 9112 recommends
    constexpr std::size_t maxHeaderLineBytes = 8000; // the parser's buffer for a line has 8192 bytes
    constexpr std::size_t maxSizeLineBytes = 64; // of a chunk, with its extensions
    constexpr std::size_t maxSizeDigits = 8;

    constexpr std::string_view lengthName = "Content-Length";
    constexpr std::string_view encodingName = "Transfer-Encoding";
    constexpr std::string_view codingName = "chunked";

    constexpr int malformed = 400;
    constexpr int bodyTooLarge = 413;
    constexpr int lineTooLong = 414;
    constexpr int headTooLarge = 431;
    constexpr int notImplemented = 501;

    bool equalsIgnoringCase(std::string_view left, std::string_view right)
    {
        return std::equal(left.begin(), left.end(), right.begin(), right.end(), [](unsigned char a, unsigned char b) { return std::tolower(a) == std::tolower(b); });
    }

    std::string_view trimmed(std::string_view text)
    {
        constexpr std::string_view blanks = " \t";
        const std::size_t begin = text.find_first_not_of(blanks);
        return begin == std::string_view::npos ? std::string_view() : text.substr(begin, text.find_last_not_of(blanks) - begin + 1);
    }

    // Those that the parser takes. It takes CONNECT as well, which is for proxies.
    constexpr std::array<std::string_view, 15> methods = { "GET", "HEAD", "POST", "PUT", "DELETE", "MKCOL", "COPY", "MOVE", "OPTIONS", "PROPFIND", "PROPPATCH", "LOCK", "UNLOCK", "TRACE", "PATCH" };

    bool isToken(std::string_view text)
    {
        constexpr std::string_view marks = "!#$%&'*+-.^_`|~"; // RFC 9110, section 5.6.2
        return !text.empty() && std::all_of(text.begin(), text.end(), [&](char byte) {
            const auto code = static_cast<unsigned char>(byte);
            return code < 0x80 && (std::isalnum(code) != 0 || marks.find(byte) != std::string_view::npos);
        });
    }

    bool hasControls(std::string_view text)
    {
        return std::any_of(text.begin(), text.end(), [](unsigned char byte) { return byte <= ' ' || byte == 0x7f; });
    }

    bool isLineEnd(char byte)
    {
        return byte == '\r' || byte == '\n';
    }

    // Blanks before the semicolon are allowed (RFC 9112, section 7.1.1).
    bool beginsExtension(char byte)
    {
        return byte == ';' || byte == ' ' || byte == '\t';
    }

    // -1 for a byte that is none.
    int hexDigit(char byte)
    {
        constexpr std::string_view digits = "0123456789abcdef";
        const std::size_t found = digits.find(static_cast<char>(std::tolower(static_cast<unsigned char>(byte))));
        return found == std::string_view::npos ? -1 : static_cast<int>(found);
    }

} // namespace

void message_scanner::refuse(int status)
{
    m_part = part::refused;
    m_refusal = status;
    m_head = {};
}

std::size_t message_scanner::scan(std::string_view bytes, const message_limits& limits)
{
    m_isDropped = false;
    if (bytes.empty())
        return 0;
    switch (m_part) {
    case part::head:
        return isLineEnd(bytes.front()) && m_head.empty() ? skipEmptyLines(bytes) : scanHead(bytes, limits);
    case part::body:
        if (m_isChunked)
            return scanChunks(bytes, limits);
        break;
    default:
        return 0;
    }
    const std::size_t length = std::min<std::uint64_t>(bytes.size(), m_left);
    m_left -= length;
    if (m_left == 0)
        m_part = part::end;
    return length;
}

std::size_t message_scanner::skipEmptyLines(std::string_view bytes)
{
    m_isDropped = true;
    const auto length = static_cast<std::size_t>(std::find_if_not(bytes.begin(), bytes.end(), isLineEnd) - bytes.begin());
    m_emptyLineBytes += length;
    if (m_emptyLineBytes > maxEmptyLineBytes)
        refuse(malformed);
    return length;
}

std::size_t message_scanner::scanHead(std::string_view bytes, const message_limits& limits)
{
    for (std::size_t i = 0; i < bytes.size(); ++i) {
        const char byte = bytes[i];
        if (m_head.size() >= limits.maxHeaderBytes) {
            refuse(m_head.find('\n') == std::string::npos ? lineTooLong : headTooLarge);
            return i + 1;
        }
        const bool isAfterReturn = !m_head.empty() && m_head.back() == '\r';
        m_head += byte;
        if (byte == '\0' || isAfterReturn != (byte == '\n')) {
            refuse(malformed);
            return i + 1;
        }
        if (byte == '\n' && m_head.ends_with("\r\n\r\n")) {
            finishHead(limits);
            return i + 1;
        }
    }
    return bytes.size();
}

void message_scanner::finishHead(const message_limits& limits)
{
    std::string_view rest = m_head;
    const std::string_view requestLine = rest.substr(0, rest.find("\r\n"));
    if (requestLine.size() > maxRequestLineBytes)
        return refuse(lineTooLong);
    if (const int status = readRequestLine(requestLine); status != 0)
        return refuse(status);
    rest.remove_prefix(requestLine.size() + 2);
    std::size_t lines = 0;
    while (!rest.starts_with("\r\n")) {
        const std::string_view line = rest.substr(0, rest.find("\r\n"));
        if (++lines > maxHeaderLines || line.size() > maxHeaderLineBytes)
            return refuse(headTooLarge);
        if (!readHeaderLine(line, limits))
            return;
        rest.remove_prefix(line.size() + 2);
    }
    normalizeHead();
    m_part = m_isChunked || m_left > 0 ? part::body : part::end;
}

// The status of the refusal; 0 if there is none.
int message_scanner::readRequestLine(std::string_view line)
{
    const std::size_t methodEnd = std::min(line.find(' '), line.size());
    const std::string_view method = line.substr(0, methodEnd);
    const std::size_t targetAt = std::min(methodEnd + 1, line.size());
    const std::size_t targetEnd = std::min(line.find(' ', targetAt), line.size());
    const std::string_view target = line.substr(targetAt, targetEnd - targetAt);
    const std::string_view version = line.substr(targetEnd);
    if (!isToken(method) || target.empty() || hasControls(target))
        return malformed;
    if (version.size() != 9 || !version.starts_with(" HTTP/1.") || version.back() < '0' || version.back() > '9')
        return malformed;
    if (std::find(methods.begin(), methods.end(), method) == methods.end() || (method == "OPTIONS" && target == "*"))
        return notImplemented;
    if (target.starts_with('/'))
        return 0;
    for (const std::string_view scheme : { "http://", "https://" }) {
        if (!equalsIgnoringCase(target.substr(0, scheme.size()), scheme))
            continue;
        const std::string_view authority = target.substr(scheme.size(), target.find_first_of("/?#", scheme.size()) - scheme.size());
        m_authorityAt = targetAt + scheme.size();
        m_authorityBytes = authority.size();
        return authority.empty() || authority.find('@') != std::string_view::npos ? malformed : 0;
    }
    return malformed;
}

// Of the fields that tell a body's end, the parser knows only the plainest spelling. An absolute target takes the place of the Host field
// (RFC 9112, section 3.2.2).
void message_scanner::normalizeHead()
{
    if (m_authorityAt == 0 && !m_hasLength && !m_isChunked)
        return;
    const std::string_view head = m_head;
    const std::size_t lineEnd = head.find("\r\n") + 2;
    std::string normal;
    normal.reserve(head.size() + 64); // an absolute target's Host field repeats what it takes away
    if (m_authorityAt > 0) {
        const std::size_t pathAt = m_authorityAt + m_authorityBytes;
        normal += head.substr(0, head.find(' ') + 1);
        normal += head[pathAt] == '/' ? "" : "/";
        normal += head.substr(pathAt, lineEnd - pathAt);
        normal += "Host: ";
        normal += head.substr(m_authorityAt, m_authorityBytes);
        normal += "\r\n";
    } else {
        normal += head.substr(0, lineEnd);
    }
    for (std::size_t at = lineEnd; at < head.size();) {
        const std::string_view line = head.substr(at, head.find("\r\n", at) + 2 - at);
        const std::size_t colon = std::min(line.find(':'), line.size() - 2);
        const std::string_view name = line.substr(0, colon);
        if (equalsIgnoringCase(name, lengthName)) {
            normal += lengthName;
            normal += ": ";
            normal += trimmed(line.substr(colon + 1, line.size() - colon - 3));
            normal += "\r\n";
        } else if (equalsIgnoringCase(name, encodingName)) {
            normal += encodingName;
            normal += ": ";
            normal += codingName;
            normal += "\r\n";
        } else if (m_authorityAt == 0 || !equalsIgnoringCase(name, "Host")) {
            normal += line;
        }
        at += line.size();
    }
    m_head = std::move(normal);
}

// False if it has refused the request.
bool message_scanner::readHeaderLine(std::string_view line, const message_limits& limits)
{
    const std::size_t colon = line.find(':');
    const std::string_view name = line.substr(0, colon);
    if (colon == std::string_view::npos || !isToken(name)) {
        refuse(malformed);
        return false;
    }
    const std::string_view value = trimmed(line.substr(colon + 1));
    int status = 0;
    if (equalsIgnoringCase(name, lengthName)) {
        const auto parsed = std::from_chars(value.data(), value.data() + value.size(), m_left);
        if (m_hasLength || m_isChunked || value.empty() || parsed.ptr != value.data() + value.size())
            status = malformed;
        else if (parsed.ec != std::errc() || m_left > limits.maxBodyBytes)
            status = bodyTooLarge;
        m_hasLength = true;
    } else if (equalsIgnoringCase(name, encodingName)) {
        if (m_hasLength || m_isChunked)
            status = malformed;
        else if (!equalsIgnoringCase(value, codingName))
            status = notImplemented;
        m_isChunked = true;
    }
    if (status != 0)
        refuse(status);
    return status == 0;
}

std::size_t message_scanner::scanChunks(std::string_view bytes, const message_limits& limits)
{
    std::size_t at = 0;
    while (at < bytes.size() && m_part == part::body) {
        if (m_chunkPart == chunk_part::size && m_sizeLineBytes > 0 && beginsExtension(bytes[at]))
            m_chunkPart = chunk_part::extension;
        if (m_chunkPart == chunk_part::extension && bytes[at] == '\r')
            m_chunkPart = chunk_part::size_return;
        if (m_chunkPart == chunk_part::extension)
            return at > 0 ? at : skipExtension(bytes);
        if (m_chunkPart != chunk_part::data) {
            if (!readChunkByte(bytes[at], limits))
                refuse(m_bodyBytes > limits.maxBodyBytes ? bodyTooLarge : malformed);
            ++at;
            continue;
        }
        const std::size_t length = std::min<std::uint64_t>(bytes.size() - at, m_left);
        at += length;
        m_left -= length;
        if (m_left == 0)
            m_chunkPart = chunk_part::data_end_first;
    }
    return at;
}

std::size_t message_scanner::skipExtension(std::string_view bytes)
{
    m_isDropped = true;
    const std::string_view skipped = bytes.substr(0, bytes.find('\r'));
    m_sizeLineBytes += skipped.size();
    if (m_sizeLineBytes > maxSizeLineBytes || skipped.find('\n') != std::string_view::npos)
        refuse(malformed);
    return skipped.size();
}

// Reads a byte of the framing. False if it is not valid or the chunk leads over the limit.
bool message_scanner::readChunkByte(char byte, const message_limits& limits)
{
    switch (m_chunkPart) {
    case chunk_part::size:
        if (const int digit = hexDigit(byte); digit >= 0) {
            m_left = m_left * 16 + static_cast<std::uint64_t>(digit);
            return ++m_sizeLineBytes <= maxSizeDigits;
        }
        m_chunkPart = chunk_part::size_end;
        return m_sizeLineBytes > 0 && byte == '\r';
    case chunk_part::size_return:
        m_chunkPart = chunk_part::size_end;
        return byte == '\r';
    case chunk_part::size_end:
        m_bodyBytes += m_left;
        m_sizeLineBytes = 0;
        m_chunkPart = m_left > 0 ? chunk_part::data : chunk_part::last_first;
        return byte == '\n' && m_bodyBytes <= limits.maxBodyBytes;
    case chunk_part::data_end_first:
        m_chunkPart = chunk_part::data_end_second;
        return byte == '\r';
    case chunk_part::data_end_second:
        m_chunkPart = chunk_part::size;
        return byte == '\n';
    case chunk_part::last_first:
        m_chunkPart = chunk_part::last_second;
        return byte == '\r';
    case chunk_part::last_second:
        m_part = part::end;
        return byte == '\n';
    case chunk_part::extension:
    case chunk_part::data:
        break;
    }
    return false;
}

} // namespace jackdaw::transport::internal
