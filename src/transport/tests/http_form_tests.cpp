// Requests of every form over raw sockets: whatever the form, a whole request gets one response.
#include "transport/tests/http_fixture.h"

#include <netinet/tcp.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <cerrno>
#include <charconv>
#include <string>
#include <string_view>
#include <vector>

using namespace jackdaw::transport;
using namespace std::string_literals;
using std::chrono::milliseconds;
using tests::http_fixture;

namespace {

// What the caller of a form may get, beside 4xx and 501.
enum class outcome {
    served, // 200 only, with what the handler has read
    refused, // no 200
    either
};

struct request_form {
    std::string text;
    outcome allowed = outcome::either;
    std::string read {}; // by the handler: method, path, query, body, and the host if it is not x
    std::string status {}; // if the refusal's is known
};

std::string ordinaryRequest()
{
    return "GET /ordinary HTTP/1.1\r\nHost: x\r\n\r\n";
}

constexpr std::string_view ordinaryRead = "0 /ordinary  ";

std::string get(std::string_view target, std::string_view rest = {}, std::string_view method = "GET", std::string_view version = "HTTP/1.1")
{
    return std::string(method) + ' ' + std::string(target) + ' ' + std::string(version) + "\r\nHost: x\r\n" + std::string(rest) + "\r\n";
}

std::string post(std::string_view fields, std::string_view body, std::string_view method = "POST")
{
    return get("/x", fields, method) + std::string(body);
}

std::string chunked(std::string_view body, std::string_view field = "Transfer-Encoding: chunked\r\n")
{
    return post(field, body);
}

void addMethods(std::vector<request_form>& forms)
{
    for (const char* method : { "OPTIONS", "TRACE", "PATCH", "MKCOL", "COPY", "MOVE", "PROPFIND", "PROPPATCH", "LOCK", "UNLOCK" })
        forms.push_back({ get("/x", {}, method), outcome::served, "4 /x  ", {} });
    for (const char* method : { "get", "Get", "post", "FOO", "QUERY", "GETT", "GE", "G", "PURGE", "SEARCH", "REPORT", "LINK", "M-SEARCH", "X.Y", "DELETED", "POSTPOST", "VERSION-CONTROL", "PR", "BASELINE-CONTROL" })
        forms.push_back({ get("/x", {}, method), outcome::refused, {}, "501" });
    for (const char* method : { "G(T", "GET\t", "G\xc3\xa9T", "\"GET\"", "GET,", "@" })
        forms.push_back({ get("/x", {}, method), outcome::refused, {}, "400" });
    forms.push_back({ get("x:80", {}, "CONNECT"), outcome::refused, {}, "501" });
    forms.push_back({ post("Content-Length: 4\r\n", "body", "FOO"), outcome::refused, {}, "501" });
}

void addTargets(std::vector<request_form>& forms)
{
    const auto served = [&forms](std::string_view target, const std::string& read) { forms.push_back({ get(target), outcome::served, "0 " + read + " ", {} }); };
    served("/", "/ ");
    served("/x?", "/x ");
    served("/x?a=b&c", "/x a=b&c");
    served("/x?a=b?c", "/x a=b?c");
    for (const char* target : { "*", "x", "x/y", "x:80", "?a=b", "http:", "http:/x", "http://", "://x/", "/x y", "/x\ty", "-", ".", "//", "//x/y", "/x//y", "/x?=", "/x?&", "/x?a=%zz", "/%", "/%4", "/%zz", "/%00", "/%41%2f", "/x#f", "/x?a#f", "/\xc3\xa9",
             "/x?\xc3\xa9", "/\x7f", "/\x01", "/a;b", "/a:b", "/a@b", "/a|b", "/a\"b", "/a<b>", "/{a}", "/a\\b", "/a^b", "/a`b", "/[a]", "/..", "/./x", "/../x", "/~a", "/*", "/x?%", "/x?a=b%", "/x?a=%4", "/x?a&&b", "/x?+", "/x?\"", "/x?a==b" })
        forms.push_back({ get(target) });
    for (const char* target : { "http://x", "http://x/", "http://x/y?a=b", "http://x:80/y", "HTTP://x/y", "https://x/y", "http://u@x/y", "http://u:p@x/y", "http://[::1]/y", "http://[::1]:80/y", "ftp://x/y", "gopher://x/y", "http://x?a", "http:///y", "http://x:/y",
             "http://x:99999/y", "http://x_y/z", "http://x-y.z/w", "a://b/c", "https:x" })
        forms.push_back({ get(target) });
    for (const std::size_t length : { std::size_t(255), std::size_t(2000), std::size_t(4096), std::size_t(7900), std::size_t(8200), std::size_t(20'000) })
        forms.push_back({ get("/" + std::string(length, 'x')) });
    forms.push_back({ get("/x?" + std::string(5000, 'a')) });
    forms.push_back({ get("/" + std::string(2000, '/')) });
    forms.push_back({ get("/x", {}, "OPTIONS *") });
    forms.push_back({ get("*", {}, "OPTIONS"), outcome::refused, {}, "501" });
    served("http://x", "/ ");
    served("http://x/y?a=b", "/y a=b");
    forms.push_back({ get("HTTP://y:80/z"), outcome::served, "0 /z  @y:80" });
    served("http://x?a", "/ a");
}

void addVersions(std::vector<request_form>& forms)
{
    for (const char* version : { "HTTP/1.0", "HTTP/1.2", "HTTP/1.9" })
        forms.push_back({ get("/x", {}, "GET", version) });
    for (const char* version : { "HTTP/2.0", "HTTP/0.9", "HTTP/1.10", "HTTP/1.", "HTTP/1", "HTTP/1.1x", "HTTP/1.x", "http/1.1", "HTTP/11", "HTTP/01.1", "HTTP/1.1 ", "HTTPS/1.1", " HTTP/1.1", "HTTP/1.1\t", "HTTP/1.01", "" })
        forms.push_back({ get("/x", {}, "GET", version), outcome::refused, {}, {} });
    forms.push_back({ "GET /x HTTP/1.0\r\n\r\n" });
    forms.push_back({ "GET /x HTTP/1.0\r\nConnection: keep-alive\r\n\r\n" });
    forms.push_back({ "GET  /x HTTP/1.1\r\nHost: x\r\n\r\n" });
    forms.push_back({ " GET /x HTTP/1.1\r\nHost: x\r\n\r\n" });
}

void addFields(std::vector<request_form>& forms)
{
    for (const char* field : { "A:\r\n", "A: \r\n", "A: b\r\n", "A:b\r\n", "A: b \r\n", "A:\tb\r\n", "A: b\tc\r\n", "A: b:c\r\n", "A: \xc3\xa9\r\n", "A: \xff\r\n", "A!#$%&'*+-.^_`|~: b\r\n", "1: b\r\n", "A: b\r\nA: c\r\n", "Connection: keep-alive\r\nConnection: x\r\n",
             "Connection: upgrade\r\nUpgrade: websocket\r\n", "Upgrade: h2c\r\nHTTP2-Settings: AAMAAABkAAQAAP__\r\nConnection: Upgrade, HTTP2-Settings\r\n", "TE: trailers\r\n", "Accept: */*\r\n", "Cookie: a=\"b\"\r\n", "Content-Type:\r\n", "X-Empty:\r\nY:\r\n",
             "Content-Type: multipart/form-data\r\n", "Content-Type: multipart/form-data; boundary=\r\n", "Proxy-Connection: keep-alive\r\n", "Keep-Alive: 5\r\n", "Content-Length: 0\r\n", "Content-Length: 00\r\n", "CONTENT-LENGTH: 0\r\n" })
        forms.push_back({ get("/x", field), outcome::served, "0 /x  ", {} });
    for (const char* field : { "Host: y\r\n", "Host:\r\n", "host: x\r\n", "Connection: close\r\n", "Connection: close\r\nConnection: keep-alive\r\n", "Connection: keep-alive\r\nConnection: close\r\n", "Connection:\r\n", "Connection: CLOSE\r\n", "Connection: close, x\r\n",
             "A: b\x01\r\n", "A: \x7f\r\n", "A: \x1b[0m\r\n", "A(b): c\r\n", "A/b: c\r\n", "A\"b\": c\r\n", "\xc3\xa9: b\r\n", "A\x01: b\r\n", "@: b\r\n", "A{}: b\r\n", "A;b: c\r\n", "A,b: c\r\n", "A=b: c\r\n", "A[0]: b\r\n", "A\\b: c\r\n", "A?: b\r\n", "A<b>: c\r\n", "A\x7f: b\r\n",
             ": b\r\n", "A\r\n", "A b: c\r\n", "A : b\r\n", " A: b\r\n", "A: b\r\n c\r\n", "Expect: 100-continue\r\n", "Expect: x\r\n", "Expect:\r\n", "Content-Length: 1 \r\nContent-Length: 1\r\n", "Content-Length: x\r\n", "Content-Length: -1\r\n", "Content-Length:\r\n",
             "Transfer-Encoding: identity\r\n", "Transfer-Encoding:\r\n", "Content-Length: 0, 0\r\n" })
        forms.push_back({ get("/x", field) });
    forms.push_back({ "GET /x HTTP/1.1\r\n\r\n" });
    forms.push_back({ "GET /x HTTP/1.1\r\nHost: x, y\r\n\r\n" });
    forms.push_back({ "GET /x HTTP/1.1\r\nHost: [::1]:80\r\n\r\n" });
    forms.push_back({ "GET /x HTTP/1.1\r\nHost: x:\r\n\r\n" });
    forms.push_back({ "GET /x HTTP/1.1\r\nHost: /@?\r\n\r\n" });
    for (const std::size_t length : { std::size_t(1000), std::size_t(7900), std::size_t(8100), std::size_t(9000) }) {
        forms.push_back({ get("/x", "A: " + std::string(length, 'b') + "\r\n") });
        forms.push_back({ get("/x", std::string(length, 'a') + ": b\r\n") });
    }
    std::string many;
    for (int i = 0; i < 99; ++i)
        many += "A" + std::to_string(i) + ": b\r\n";
    forms.push_back({ get("/x", many), outcome::served, "0 /x  ", {} });
}

void addBodies(std::vector<request_form>& forms)
{
    const std::string body = "2 /x  body";
    for (const char* field : { "Content-Length: 4\r\n", "content-length:4\r\n", "CONTENT-LENGTH: 4\r\n", "Content-Length: 0004\r\n", "Content-Length: 4 \r\n", "Expect: 100-continue\r\nContent-Length: 4\r\n", "Expect: 100-Continue\r\nContent-Length: 4\r\n" })
        forms.push_back({ post(field, "body"), outcome::served, body, {} });
    for (const char* field : { "Expect: 200-ok\r\nContent-Length: 4\r\n", "Expect: 100-continue, x\r\nContent-Length: 4\r\n" })
        forms.push_back({ post(field, "body"), outcome::either, body, {} });
    for (const char* text : { "4\r\nbody\r\n0\r\n\r\n", "04\r\nbody\r\n00\r\n\r\n", "1\r\nb\r\n1\r\no\r\n1\r\nd\r\n1\r\ny\r\n0\r\n\r\n" })
        forms.push_back({ chunked(text), outcome::served, body, {} });
    forms.push_back({ chunked("4\r\nbody\r\n0\r\n\r\n", "Transfer-Encoding:chunked\r\n"), outcome::served, body, {} });
    forms.push_back({ chunked("0\r\n\r\n"), outcome::served, "2 /x  ", {} });
    forms.push_back({ post("Content-Length: 0\r\n", {}), outcome::served, "2 /x  ", {} });
    forms.push_back({ post({}, {}), outcome::served, "2 /x  ", {} });
    forms.push_back({ post("Content-Length: 4\r\n", "body", "GET"), outcome::served, "0 /x  body", {} });
    forms.push_back({ post("Content-Length: 4\r\n", "body", "DELETE"), outcome::served, "3 /x  body", {} });
    forms.push_back({ post("Content-Length: 0\r\n", {}, "DELETE"), outcome::served, "3 /x  ", {} });
    forms.push_back({ post("Content-Length: 4\r\n", "body", "PUT"), outcome::served, "1 /x  body", {} });
    forms.push_back({ post("Transfer-Encoding: chunked\r\n", "4\r\nbody\r\n0\r\n\r\n", "GET"), outcome::served, "0 /x  body", {} });
    forms.push_back({ post("Transfer-Encoding: chunked\r\n", "4\r\nbody\r\n0\r\n\r\n", "DELETE"), outcome::served, "3 /x  body", {} });
    for (const char* text : { "0\r\nA: b\r\n\r\n", "0000000004\r\nbody\r\n0\r\n\r\n", "x\r\n\r\n", "4\nbody\n0\n\n", "-4\r\nbody\r\n0\r\n\r\n", "0x4\r\nbody\r\n0\r\n\r\n", "4\r\nbodyx\r\n0\r\n\r\n", " 4\r\nbody\r\n0\r\n\r\n", "4;a=\"\n\"\r\nbody\r\n0\r\n\r\n", "\r\n0\r\n\r\n" })
        forms.push_back({ chunked(text), outcome::refused, {}, "400" });
    for (const char* field : { "Transfer-Encoding: gzip\r\n", "Transfer-Encoding: chunked, chunked\r\n", "Transfer-Encoding: gzip, chunked\r\n", "Transfer-Encoding: x\r\nTransfer-Encoding: chunked\r\n", "Transfer-Encoding: chunked;a=b\r\n", "Transfer-Encoding: \"chunked\"\r\n" })
        forms.push_back({ chunked("0\r\n\r\n", field), outcome::refused, {}, {} });
    forms.push_back({ "POST /x HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" });
    forms.push_back({ "POST /x HTTP/1.0\r\nContent-Length: 4\r\n\r\nbody", outcome::served, body, {} });
}

void addExtensions(std::vector<request_form>& forms)
{
    const std::string body = "2 /x  body";
    for (const char* text : { "4;a=b\r\nbody\r\n0\r\n\r\n", "4;a=\"b c\"\r\nbody\r\n0\r\n\r\n", "4;a\r\nbody\r\n0;z\r\n\r\n", "4;\r\nbody\r\n0\r\n\r\n", "4 ; a = b\r\nbody\r\n0 ;x\r\n\r\n", "2;a=b\r\nbo\r\n2;c\r\ndy\r\n0;d=e\r\n\r\n", "0004;a=\"\\\"\"\r\nbody\r\n0\r\n\r\n" })
        forms.push_back({ chunked(text), outcome::served, body, {} });
    forms.push_back({ chunked("4;a\r\nbody\r\n0\r\n\r\n", "Expect: 100-continue\r\nTransfer-Encoding: chunked\r\n"), outcome::served, body, {} });
    forms.push_back({ chunked("0;a=b\r\n\r\n"), outcome::served, "2 /x  ", {} });
    forms.push_back({ chunked("A\r\n0123456789\r\n0b;c\r\n0123456789a\r\n0\r\n\r\n"), outcome::served, "2 /x  01234567890123456789a", {} });
}

void addCodings(std::vector<request_form>& forms)
{
    for (const char* field : { "TRANSFER-ENCODING: CHUNKED\r\n", "Transfer-Encoding: Chunked\r\n", "transfer-encoding:\tchunked\r\n", "Transfer-Encoding:   chunked \t\r\n" })
        forms.push_back({ chunked("4\r\nbody\r\n0\r\n\r\n", field), outcome::served, "2 /x  body", {} });
    for (const char* field : { "CONTENT-LENGTH:4\r\n", "Content-Length:\t4\r\n", "Content-Length:   4\t\r\n" })
        forms.push_back({ post(field, "body"), outcome::served, "2 /x  body", {} });
}

void addEmptyLines(std::vector<request_form>& forms)
{
    for (const char* lines : { "\r\n", "\r\n\r\n", "\r\n\r\n\r\n", "\n" }) {
        forms.push_back({ lines + get("/x"), outcome::served, "0 /x  ", {} });
        forms.push_back({ lines + post("Content-Length: 4\r\n", "body") + lines, outcome::served, "2 /x  body", {} });
    }
}

struct response_read {
    std::string status;
    std::string body;
};

// The first final response at the front of the bytes, which it takes away; empty status while it is not whole.
response_read takeResponse(std::string& bytes, bool isToHead)
{
    constexpr std::string_view lengthName = "content-length:";
    while (true) {
        const std::size_t end = bytes.find("\r\n\r\n");
        if (end == std::string::npos)
            return {};
        std::string head = bytes.substr(0, end + 2);
        const std::string status = head.starts_with("HTTP/1.") ? head.substr(9, 3) : "none: " + head;
        if (status.starts_with('1')) {
            bytes.erase(0, end + 4);
            continue;
        }
        std::transform(head.begin(), head.end(), head.begin(), [](unsigned char byte) { return static_cast<char>(std::tolower(byte)); });
        std::size_t length = 0;
        if (const std::size_t found = head.find(lengthName); found != std::string::npos && !isToHead) {
            const std::size_t begin = head.find_first_not_of(' ', found + lengthName.size());
            std::from_chars(head.data() + begin, head.data() + head.size(), length);
        }
        if (bytes.size() < end + 4 + length)
            return {};
        response_read response { status, bytes.substr(end + 4, length) };
        bytes.erase(0, end + 4 + length);
        return response;
    }
}

// Sends an ordinary request first if asked to, then one of a form, in pieces or in one, then an ordinary one.
class form_caller {
public:
    form_caller(const http_fixture& fixture, const request_form& sentForm, bool sendsPieces, bool followsAnother)
        : form(sentForm)
        , isSplit(sendsPieces)
        , isBehindAnother(followsAnother)
        , m_descriptor(fixture.connectRaw())
    {
        const int noDelay = 1;
        setsockopt(m_descriptor, IPPROTO_TCP, TCP_NODELAY, &noDelay, sizeof(noDelay));
        if (isBehindAnother)
            m_steps.push_back(ordinaryRequest());
        m_steps.push_back(form.text);
        m_steps.push_back(ordinaryRequest());
    }
    ~form_caller() { close(m_descriptor); }
    form_caller(const form_caller&) = delete;
    form_caller& operator=(const form_caller&) = delete;

    void advance()
    {
        receive();
        if (isDone())
            return;
        std::string& text = m_steps[m_at];
        const bool isForm = m_at + 2 == m_steps.size();
        if (const response_read response = takeResponse(m_received, isForm && text.starts_with("HEAD ")); !response.status.empty()) {
            responses.push_back(response);
            ++m_at;
            m_sent = 0;
            return;
        }
        constexpr std::size_t maxPieces = 200;
        const std::size_t piece = isForm && isSplit ? 1 + text.size() / maxPieces : text.size();
        const std::size_t length = std::min(piece, text.size() - m_sent);
        if (length > 0 && send(m_descriptor, text.data() + m_sent, length, MSG_NOSIGNAL) < 0)
            isClosed = true;
        m_sent += length;
    }

    bool isDone() const { return isClosed || m_at == m_steps.size(); }
    const std::string& rest() const { return m_received; }

    const request_form& form;
    const bool isSplit;
    const bool isBehindAnother;
    std::vector<response_read> responses;
    bool isClosed = false;

private:
    void receive()
    {
        std::array<char, 4096> part;
        ssize_t length = 0;
        while ((length = recv(m_descriptor, part.data(), part.size(), MSG_DONTWAIT)) > 0)
            m_received.append(part.data(), static_cast<std::size_t>(length));
        if ((length == 0 || errno != EAGAIN) && m_received.empty())
            isClosed = true;
    }

    int m_descriptor;
    std::vector<std::string> m_steps;
    std::size_t m_at = 0;
    std::size_t m_sent = 0;
    std::string m_received;
};

bool isRefusal(const std::string& status)
{
    return (status.starts_with('4') && status != "408") || status == "501";
}

void checkAnswer(const request_form& form, const response_read& answer)
{
    const bool isServed = answer.status == "200";
    CHECK((isServed || isRefusal(answer.status)));
    if (form.allowed != outcome::either)
        CHECK(isServed == (form.allowed == outcome::served));
    if (!form.status.empty())
        CHECK(answer.status == form.status);
    if (isServed && !form.read.empty())
        CHECK(answer.body == (form.text.starts_with("HEAD ") ? "" : form.read));
}

void checkForm(const form_caller& caller)
{
    std::vector<response_read> responses = caller.responses;
    CAPTURE(caller.form.text.substr(0, 200));
    CAPTURE(caller.isSplit);
    CAPTURE(caller.isBehindAnother);
    CHECK(caller.isDone());
    CHECK(caller.rest().empty());
    if (caller.isBehindAnother && !responses.empty())
        responses.erase(responses.begin());
    CHECK_MESSAGE(!responses.empty(), "no response");
    if (responses.empty())
        return;
    checkAnswer(caller.form, responses.front());
    if (responses.size() > 1)
        CHECK((responses[1].status == "200" && responses[1].body == ordinaryRead));
    else
        CHECK(caller.isClosed);
}

void replyWithWhatWasRead(const http_request& request, const std::shared_ptr<http_responder>& responder)
{
    const std::string host(request.header("Host"));
    const std::string read = std::to_string(static_cast<int>(request.method)) + ' ' + request.path + ' ' + request.query + ' ' + request.body;
    responder->reply({ 200, "text/plain", read + (host.empty() || host == "x" ? "" : "@" + host), {} });
}

void checkForms(const std::vector<request_form>& forms)
{
    constexpr std::size_t formsAtOnce = 50;
    for (std::size_t first = 0; first < forms.size(); first += formsAtOnce) {
        http_fixture fixture;
        fixture.serve(replyWithWhatWasRead);
        std::vector<std::unique_ptr<form_caller>> callers;
        for (std::size_t i = first; i < std::min(first + formsAtOnce, forms.size()); ++i) {
            for (const bool isSplit : { false, true }) {
                for (const bool isBehindAnother : { false, true })
                    callers.push_back(std::make_unique<form_caller>(fixture, forms[i], isSplit, isBehindAnother));
            }
        }
        const auto steps = fixture.loop.every(milliseconds(1), [&] {
            for (const auto& caller : callers)
                caller->advance();
            if (std::all_of(callers.begin(), callers.end(), [](const auto& caller) { return caller->isDone(); }))
                fixture.finish();
        });
        fixture.run();
        for (const auto& caller : callers)
            checkForm(*caller);
    }
}

void checkForms(void (*add)(std::vector<request_form>& forms))
{
    std::vector<request_form> forms;
    add(forms);
    checkForms(forms);
}

// The connection of a refused request, whose caller sends on until it has the refusal, and a little longer.
void checkRefusalIsRead(const std::string& head, const http_server_refusals& expected)
{
    constexpr int maxBehind = 5; // bytes behind the response
    http_fixture fixture;
    fixture.serve(replyWithWhatWasRead);
    const int descriptor = fixture.connectRaw();
    std::string received;
    std::string part = head;
    int sentBehind = 0;
    const auto steps = fixture.loop.every(milliseconds(1), [&] {
        const bool isCutOff = send(descriptor, part.data(), part.size(), MSG_NOSIGNAL) < 0;
        CHECK(!isCutOff);
        part = "x";
        std::array<char, 1024> bytes;
        const ssize_t length = recv(descriptor, bytes.data(), bytes.size(), MSG_DONTWAIT);
        received.append(bytes.data(), static_cast<std::size_t>(std::max<ssize_t>(length, 0)));
        if (isCutOff || (!received.empty() && ++sentBehind == maxBehind))
            fixture.finish();
    });
    fixture.run();
    close(descriptor);
    CHECK(received.starts_with("HTTP/1.1 400"));
    CHECK(received.find("HTTP/1.1", 1) == std::string::npos);
    CHECK(fixture.server->refusals().unhandled == expected.unhandled);
    CHECK(fixture.server->refusals().malformed == expected.malformed);
    CHECK(fixture.server->closures().library == 0);
}

} // namespace

// Guards against empty lines that the parser is given with a request's head.
TEST_CASE("a request behind empty lines is not answered")
{
    checkForms(addEmptyLines);
}

// Guards against a caller whose stray line end costs it its connection, or its next request.
TEST_CASE("an empty line alone begins a request, which is refused after its time")
{
    http_fixture fixture;
    http_server_limits limits;
    limits.headerTimeout = milliseconds(100);
    fixture.serve(replyWithWhatWasRead, limits);
    const request_form form { post("Content-Length: 4\r\n", "body") + "\r\n" };
    form_caller caller(fixture, form, false, false);
    bool hasPaused = false;
    const auto pause = fixture.loop.after(milliseconds(1000), [&] { hasPaused = true; });
    const auto steps = fixture.loop.every(milliseconds(5), [&] {
        if (caller.responses.empty() || hasPaused)
            caller.advance();
        if (caller.isDone())
            fixture.finish();
    });
    fixture.run();
    CHECK(caller.responses.size() == 2);
    checkForm(caller);
    CHECK(fixture.server->refusals().timeouts == 0);
    CHECK(fixture.server->requests().begun == 2);
}

// Guards against extensions of chunks, which the parser does not know.
TEST_CASE("a body whose chunks have extensions is not answered")
{
    checkForms(addExtensions);
}

// Guards against a parser that finds another end of a request than the scanner: its body was read as the next request.
TEST_CASE("a body whose length or coding is not spelled in the plainest way is lost")
{
    checkForms(addCodings);
}

// Guards against a body that the caller takes for the next response.
TEST_CASE("a response to HEAD has a body")
{
    checkForms({ { get("/x", {}, "HEAD"), outcome::served, "4 /x  ", {} } });
}

// Guards against requests that the parser refuses by closing the connection, or never hands over.
TEST_CASE("a whole request of an unusual form gets neither an answer nor a refusal")
{
    for (const auto add : { addMethods, addTargets, addVersions, addFields, addBodies })
        checkForms(add);
}

// Guards against forms that nobody has thought of: the parser closes the connection.
TEST_CASE("a request that the parser refuses is refused without a word, or while its body is sent")
{
    http_server_refusals expected;
    expected.unhandled = 1;
    checkRefusalIsRead(post("Content-Length: 00000000000000000000200\r\n", {}), expected); // too many digits for the parser
}

// Guards against a close while the caller sends, which may take the refusal with it.
TEST_CASE("a connection is closed as soon as its request is refused, while the caller sends on")
{
    http_server_refusals expected;
    expected.malformed = 1;
    checkRefusalIsRead(post("Content-Length : 200\r\n", {}), expected);
}
