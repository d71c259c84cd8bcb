// Follows the framing of a request over its bytes, so that a request over the limits is refused before the parser stores it.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

namespace jackdaw::transport::internal {

struct message_limits {
    std::size_t maxHeaderBytes = 0; // of the request line and the header section
    std::size_t maxBodyBytes = 0; // without the framing of chunks
};

// One request at a time. What has two possible readings is refused, so that the parser behind it finds the same end.
class message_scanner {
public:
    enum class part {
        head,
        body,
        end, // the next byte belongs to another request
        refused
    };

    // Reads on and returns the number of bytes read, which is less than all only at the end of the head and of the message, and before
    // and after what is dropped. Of the head, the scanner keeps a copy.
    std::size_t scan(std::string_view bytes, const message_limits& limits);

    // Starts with the next request.
    void reset() { *this = message_scanner(); }

    part at() const { return m_part; }

    // The complete head in the form that the parser takes: plain spellings of a body's length and coding, and a path as target.
    std::string takeHead() { return std::exchange(m_head, {}); }

    // Whether the bytes of the last scan are not to be passed on: empty lines before a request, and extensions of chunks.
    bool isDropped() const { return m_isDropped; }

    bool hasBegun() const { return !m_head.empty() || m_part != part::head; }
    int refusalStatus() const { return m_refusal; } // HTTP status, once refused

private:
    enum class chunk_part {
        size,
        extension,
        size_return,
        size_end,
        data,
        data_end_first,
        data_end_second,
        last_first, // the line after the last chunk, which must be empty: trailers are refused
        last_second
    };

    std::size_t skipEmptyLines(std::string_view bytes);
    std::size_t scanHead(std::string_view bytes, const message_limits& limits);
    std::size_t scanChunks(std::string_view bytes, const message_limits& limits);
    std::size_t skipExtension(std::string_view bytes);
    bool readChunkByte(char byte, const message_limits& limits);
    void finishHead(const message_limits& limits);
    int readRequestLine(std::string_view line);
    bool readHeaderLine(std::string_view line, const message_limits& limits);
    void normalizeHead();
    void refuse(int status);

    part m_part = part::head;
    int m_refusal = 0;
    bool m_isDropped = false;
    std::size_t m_emptyLineBytes = 0; // before the request line
    std::string m_head;
    std::size_t m_authorityAt = 0; // in the head, of an absolute target; 0 if the target is another
    std::size_t m_authorityBytes = 0;
    bool m_hasLength = false;
    bool m_isChunked = false;
    std::uint64_t m_left = 0; // bytes of the body, or of the present chunk, to come
    std::uint64_t m_bodyBytes = 0; // announced by the chunks so far
    chunk_part m_chunkPart = chunk_part::size;
    std::size_t m_sizeLineBytes = 0;
};

} // namespace jackdaw::transport::internal
