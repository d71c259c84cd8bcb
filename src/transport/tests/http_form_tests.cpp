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

void addExtensions(std::vector<request_form>& forms)
{
    const std::string body = "2 /x  body";
    for (const char* text : { "4;a=b\r\nbody\r\n0\r\n\r\n", "4;a=\"b c\"\r\nbody\r\n0\r\n\r\n", "4;a\r\nbody\r\n0;z\r\n\r\n", "4;\r\nbody\r\n0\r\n\r\n", "4 ; a = b\r\nbody\r\n0 ;x\r\n\r\n", "2;a=b\r\nbo\r\n2;c\r\ndy\r\n0;d=e\r\n\r\n", "0004;a=\"\\\"\"\r\nbody\r\n0\r\n\r\n" })
        forms.push_back({ chunked(text), outcome::served, body, {} });
    forms.push_back({ chunked("4;a\r\nbody\r\n0\r\n\r\n", "Expect: 100-continue\r\nTransfer-Encoding: chunked\r\n"), outcome::served, body, {} });
    forms.push_back({ chunked("0;a=b\r\n\r\n"), outcome::served, "2 /x  ", {} });
    forms.push_back({ chunked("A\r\n0123456789\r\n0b;c\r\n0123456789a\r\n0\r\n\r\n"), outcome::served, "2 /x  01234567890123456789a", {} });
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
        const response_read response { status, bytes.substr(end + 4, length) };
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

void checkForm(const form_caller& caller)
{
    const request_form& form = caller.form;
    std::vector<response_read> responses = caller.responses;
    CAPTURE(form.text.substr(0, 200));
    CAPTURE(caller.isSplit);
    CAPTURE(caller.isBehindAnother);
    CHECK(caller.isDone());
    CHECK(caller.rest().empty());
    if (caller.isBehindAnother && !responses.empty())
        responses.erase(responses.begin());
    CHECK_MESSAGE(!responses.empty(), "no response");
    if (responses.empty())
        return;
    const response_read& answer = responses.front();
    CAPTURE(answer.status);
    const bool isServed = answer.status == "200";
    CHECK((isServed || isRefusal(answer.status)));
    if (form.allowed != outcome::either)
        CHECK(isServed == (form.allowed == outcome::served));
    if (!form.status.empty())
        CHECK(answer.status == form.status);
    if (isServed && !form.read.empty())
        CHECK(answer.body == (form.text.starts_with("HEAD ") ? "" : form.read));
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
