// Loopback tests of signed links and student tokens, from the client to the cache and back.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>
#include <signal.h>

#include "admin/drain_schedule.h"
#include "admin_calls.h"
#include "signed_url_server/signed_urls.h"
#include "support.h"

using namespace story;
using sumackeel::config::Purpose;
using sumackeel::signed_url_server::LinkVerifier;

namespace {

const std::string kVideo = "/video/7f3a9c21e0b4d655/3?set=17&need=40", kEnrol = "/enrol/00000000000000e1";

std::string secret(const std::string& kid, const std::string& alg, const std::string& k) {
    return R"({"kty":"oct","kid":")" + kid + R"(","alg":")" + alg + R"(","k":")" + k + R"("})";
}

sumackeel::config::SignedUrlServer make_server_config() {
    const std::string a(43, 'A'), b = "B" + std::string(42, 'A'), c = "C" + std::string(42, 'A');
    sumackeel::config::SignedUrlServer front;
    front.listen = "127.0.0.1:0";
    front.host = front.audience = "cache.example.org";
    front.link_issuers = {"lessons"};
    front.token_issuers = {"school"};
    front.leeway_s = 0;
    front.one_time = "local";
    front.keys = {{"link-1", "HS256", secret("link-1", "HS256", a), Purpose::link, 0, 0},
                  {"link-old", "HS256", secret("link-old", "HS256", b), Purpose::link, 0, 1},
                  {"student-1", "HS256", secret("student-1", "HS256", b), Purpose::student, 0, 0},
                  {"subject-1", "dir", secret("subject-1", "dir", c), Purpose::subject, 0, 0}};
    return front;
}

double now() {
    return std::chrono::duration<double>(std::chrono::system_clock::now().time_since_epoch()).count();
}

sumackeel::config::Operator operator_config_with(const sumackeel::config::SignedUrlServer& front) {
    sumackeel::config::Operator result;
    result.signed_url_server = front;
    return result;
}

constexpr int kEnrolClass = 2;
constexpr sumackeel::base::Micros kEnrolDeadline = 6'000'000;  // behind the end of a drain

sumackeel::config::Config site_config(const std::vector<std::string>& hosts) {
    sumackeel::config::Config config = with_ops(hosts);
    config.site.settings.classes[kEnrolClass].deadline = kEnrolDeadline;
    return config;
}

struct Site {
    Peer cache, parent, origin;
    sumackeel::config::SignedUrlServer front = make_server_config();
    LinkVerifier signer{front};
    Daemon daemon{
        site_config({host("s-cache", cache, "edge-1", "small"), host("s-parent", parent, "coast", "parent"),
                     host("s-origin", origin, "coast", "origin")}),
        {},
        operator_config_with(front)};

    std::string link(const std::string& path, double valid_for_s = 60, const std::string& jti = {},
                     const std::string& student = "ana", const std::string& kid = "link-1") {
        sumackeel::signed_url_server::Target target;
        REQUIRE(sumackeel::signed_url_server::parse_target(path, target));
        const std::string uri = signer.sign(target, kid, "subject-1", student, now() + valid_for_s, jti);
        return uri.substr(std::string("https://cache.example.org").size());
    }
    std::string token(const std::string& student = "ana", double valid_for_s = 60) {
        return signer.student_token("student-1", student, now() + valid_for_s);
    }
};

std::string request(const std::string& method, const std::string& target, const std::string& token,
                    const std::string& body = {}, const std::string& extra_headers = {}) {
    return method + " " + target + " HTTP/1.1\r\nHost: cache.example.org\r\n" +
           (token.empty() ? "" : "Authorization: Bearer " + token + "\r\n") + extra_headers +
           (body.empty() ? "" : "Content-Length: " + std::to_string(body.size()) + "\r\n") + "\r\n" + body;
}

struct Response {
    int status = 0;
    std::map<std::string, std::string> headers;
    std::string body;
};

Response read_response(Wire& wire) {
    Response response;
    response.status = std::stoi(wire.line().substr(9));
    std::string line;
    while (!(line = wire.line()).empty())
        response.headers[line.substr(0, line.find(':'))] = line.substr(line.find(':') + 2);
    if (response.headers.contains("Content-Length"))
        response.body = wire.bytes(std::stoul(response.headers["Content-Length"]));
    return response;
}

std::string tampered(std::string link) {
    char& last = link[link.size() - 10];
    last = last == 'A' ? 'B' : 'A';
    return link;
}

}  // namespace

// Guards: requests with invalid links or tokens must be rejected before they reach a cache.
TEST_CASE("valid, expired and forged links are replayed and their outcomes counted") {
    Site site;
    const std::string ana_token = site.token(), valid = site.link(kVideo);
    std::string other_slice_link = valid;
    other_slice_link.replace(other_slice_link.find("655/3"), 5, "655/4");
    const std::string unsigned_token = "eyJhbGciOiJub25lIn0.e30.";
    const std::vector<std::pair<std::string, std::string>> cases{
        {valid, ana_token},
        {valid, ana_token},
        {site.link(kVideo, -1), ana_token},                            // expired
        {tampered(valid), ana_token},                                  // forged
        {kVideo + "&URISigningPackage=" + unsigned_token, ana_token},  // unsigned
        {kVideo + "&URISigningPackage=" + ana_token, ana_token},       // student token, not a link
        {site.link(kVideo, 60, "", "ana", "link-old"), ana_token},     // signed with an inactive key
        {other_slice_link, ana_token},                                 // link to another slice
        {kVideo, ana_token},                                           // unsigned URL
        {valid, site.token("bia")},                                    // another student's link
        {valid, ""},
        {valid, tampered(ana_token)},
        {valid, site.token("ana", -1)},
        {"/video/../enrol", ana_token},
        {"/nothing/7f3a9c21e0b4d655", ana_token}};
    Wire client = Wire::to(site.daemon.signed_port()), cache;
    std::map<int, int> outcomes;
    for (const auto& [link, token] : cases) {
        client.send(request("GET", link, token));
        if (outcomes[200] < 2) {
            if (outcomes[200] == 0) cache = site.cache.accept();
            const Req req = read_req(cache);
            CHECK(req.fields.at("cls") == "video");
            CHECK(req.fields.at("item") == "7f3a9c21e0b4d655");
            cache.send(req.id + " DONE digest=ab12 5\r\nvideo\r\n");
        }
        const Response response = read_response(client);
        ++outcomes[response.status];
        if (response.status == 200) CHECK(response.body == "video");
        if (response.status == 401) CHECK(response.headers.contains("WWW-Authenticate"));
        if (response.status >= 400) CHECK(response.headers.at("Content-Type") == "application/problem+json");
    }
    CHECK(outcomes == std::map<int, int>{{200, 2}, {401, 3}, {403, 8}, {404, 2}});
    CHECK(cache.quiet());
    CHECK_FALSE(site.cache.called());
}

// Guards: the link is checked once, on arrival. An accepted request gets exactly one response, even if its
// link expires meanwhile.
TEST_CASE("a link that expires in flight still ends in one answer") {
    Site site;
    const double expires_in = 0.3;
    const double expired = now() + expires_in;  // or slightly later, because signing takes time
    // A large object, so that the attempt's timeout is long after the link's expiry.
    const std::string link = site.link("/video/7f3a9c21e0b4d655/3?set=17&need=20000", expires_in),
                      ana_token = site.token();
    Wire client = Wire::to(site.daemon.signed_port());
    client.send(request("GET", link, ana_token));
    Wire cache = site.cache.accept();
    const Req req = read_req(cache);
    Wire other = Wire::to(site.daemon.signed_port());
    int status = 0;
    while (status != 403) {  // until the server itself treats the link as expired
        other.send(request("GET", link, ana_token, "", "Prefer: wait=0.05\r\n"));
        status = read_response(other).status;
    }
    CHECK(now() >= expired);
    cache.send(req.id + " DONE digest=ab12 5\r\nvideo\r\n");
    const Response response = read_response(client);
    CHECK(response.status == 200);
    CHECK(response.body == "video");
    CHECK(client.quiet());
}

// Guards: enrol is executed at most once per link, and a forged link never reaches a cache. The link of a
// request that may have been executed is not accepted again; that of a request refused before it was sent
// may be.
TEST_CASE("enrol by links for one use") {
    Site site;
    const std::string ana_token = site.token();
    Wire client = Wire::to(site.daemon.signed_port());
    const auto status_of = [&](const std::string& link) {
        client.send(request("POST", link, ana_token, "form"));
        return read_response(client).status;
    };
    CHECK(status_of(tampered(site.link(kEnrol, 60, "j1"))) == 403);
    CHECK(status_of(site.link(kEnrol)) == 403);  // not a one-time link
    CHECK_FALSE(site.cache.called());

    const std::string first = site.link(kEnrol, 60, "j2");
    client.send(request("POST", first, ana_token, "form"));
    Wire cache = site.cache.accept();
    const Req req = read_req(cache);
    CHECK(req.body == "form");
    cache.send(req.id + " DONE - 2\r\nin\r\n");
    CHECK(read_response(client).body == "in");
    CHECK(status_of(first) == 403);

    const std::string interrupted_link = site.link(kEnrol, 60, "j3");
    client.send(request("POST", interrupted_link, ana_token, "form"));
    read_req(cache);
    cache.reset();
    CHECK(read_response(client).status == 502);
    CHECK(status_of(interrupted_link) == 403);
}

// Guards: a refusal tells the client when to retry, and the one-time link that was refused is valid again.
TEST_CASE("refusals, time-outs and unmodified copies as HTTP words them") {
    Site site;
    const std::string ana_token = site.token();
    Wire client = Wire::to(site.daemon.signed_port());
    client.send(request("GET", site.link(kVideo), ana_token, "", "If-None-Match: \"ab12\"\r\n"));
    Wire cache = site.cache.accept();
    const Req conditional = read_req(cache);
    CHECK(conditional.fields.at("got") == "ab12");
    cache.send(conditional.id + " KEEP digest=ab12 0\r\n\r\n");
    const Response not_modified = read_response(client);
    CHECK(not_modified.status == 304);
    CHECK(not_modified.headers.at("ETag") == "\"ab12\"");

    client.send(request("POST", site.link(kEnrol, 60, "j0"), ana_token, "form", "Prefer: wait=0.4\r\n"));
    read_req(cache);
    CHECK(read_response(client).status == 504);

    site.cache.stop(), site.parent.stop(), site.origin.stop();
    cache.reset();
    const std::string one_time_link = site.link(kEnrol, 60, "j1");
    for (int i = 0; i < 2; ++i) {  // refused before it was sent, so the same link is accepted a second time
        client.send(request("POST", one_time_link, ana_token, "form"));
        const Response refused = read_response(client);
        CHECK(refused.status == 503);
        CHECK(refused.headers.contains("Retry-After"));
        CHECK(refused.body.find("nothing ran") != std::string::npos);
    }
}

// Guards: a revocation by an operator while the proxies run applies to the next request.
TEST_CASE("a revoked link and a key that was switched off") {
    const auto front = make_server_config();
    std::map<std::string, std::string> runtime_settings;
    const LinkVerifier verifier(front, [&](const std::string& key) {
        const auto found = runtime_settings.find(key);
        return found == runtime_settings.end() ? std::nullopt : std::optional(found->second);
    });
    sumackeel::signed_url_server::Target target;
    REQUIRE(sumackeel::signed_url_server::parse_target(kEnrol, target));
    const std::string uri = verifier.sign(target, "link-1", "subject-1", "ana", now() + 60, "j1");
    const std::string ana_token = verifier.student_token("student-1", "ana", now() + 60);
    sumackeel::signed_url_server::Target link;
    REQUIRE(sumackeel::signed_url_server::parse_target(uri.substr(uri.find("/enrol")), link));
    const auto status = [&](double at) { return verifier.check(link, ana_token, true, at).status; };
    CHECK(status(now()) == 0);
    CHECK(status(now() + 65) == 401);
    runtime_settings["setting/leeway_s"] = "10";
    CHECK(status(now() + 65) == 0);
    runtime_settings["revoked/j1"] = "yes";
    CHECK(status(now()) == 403);
    runtime_settings.erase("revoked/j1");
    runtime_settings["key/link-1"] = "off";
    CHECK(status(now()) == 403);
    runtime_settings["key/student-1"] = "off";
    CHECK(status(now()) == 401);
}

// Guards: a key removed from the operator's file must be rejected after a reload, without a restart.
TEST_CASE("on SIGHUP the operator's file is read anew with its keys") {
    Peer cache, parent, origin;
    const std::vector<std::string> hosts{host("s-cache", cache, "edge-1", "small"),
                                         host("s-parent", parent, "coast", "parent"),
                                         host("s-origin", origin, "coast", "origin")};
    const Folder folder;
    const auto write_keys = [&](const std::string& link_kid) {
        std::string keys;
        for (const auto& key : make_server_config().keys) {
            if (key.purpose == Purpose::link && key.kid != link_kid) continue;
            const char* purpose = key.purpose == Purpose::link      ? "link"
                                  : key.purpose == Purpose::student ? "student"
                                                                    : "subject";
            keys += (keys.empty() ? "" : ",") + key.jwk.substr(0, key.jwk.size() - 1) + R"(,"purpose":")" +
                    purpose + "\"}";
        }
        folder.write("keys.json", R"({"keys":[)" + keys + "]}");
    };
    write_keys("link-1");
    const std::string operator_file = folder.write(
        "operator.json",
        R"({"signed_front":{"listen":"127.0.0.1:0","host":"cache.example.org","audience":"cache.example.org",
            "link_issuers":["lessons"],"token_issuers":["school"],"one_time":"local","keys":"keys.json"}})");
    const std::string config_file = folder.write("config.json", config_text(hosts));
    Daemon daemon(hosts, {}, sumackeel::config::load_operator(operator_file),
                  {config_file, operator_file, {}});
    const sumackeel::config::SignedUrlServer front = make_server_config();
    const LinkVerifier signer(front);
    sumackeel::signed_url_server::Target target;
    REQUIRE(sumackeel::signed_url_server::parse_target(kVideo, target));
    const std::string token = signer.student_token("student-1", "ana", now() + 60);
    const auto link = [&](const std::string& kid) {
        const std::string uri = signer.sign(target, kid, "subject-1", "ana", now() + 60, "");
        return uri.substr(std::string("https://cache.example.org").size());
    };
    Wire client = Wire::to(daemon.signed_port());
    client.send(request("GET", link("link-1"), token));
    Wire box = cache.accept();
    box.send(read_req(box).id + " DONE - 2\r\nok\r\n");
    CHECK(read_response(client).status == 200);
    write_keys("link-old");
    kill(getpid(), SIGHUP);
    // Files are read outside the event loop; requests after the reload has completed use the new keys.
    client.send(request("GET", "/nothing", token));
    CHECK(read_response(client).status == 404);
    REQUIRE(daemon.reloaded(1));
    client.send(request("GET", "/nothing", token));
    CHECK(read_response(client).status == 404);
    client.send(request("GET", link("link-1"), token));
    CHECK(read_response(client).status == 403);
    client.send(request("GET", link("link-old"), token));
    box.send(read_req(box).id + " DONE - 2\r\nok\r\n");
    CHECK(read_response(client).status == 200);
}

// Guards against heads of very many short fields: their bytes are few, the memory that holds them is not.
TEST_CASE("a head of too many fields is rejected, an empty field changes no other") {
    Site site;
    const auto status_with = [&](const std::string& fields) {
        Wire client = Wire::to(site.daemon.signed_port());
        client.send(request("GET", "/nothing", {}, {}, fields));
        return read_response(client).status;
    };
    std::string fields;
    for (int i = 0; i < 40; ++i) fields += "f" + std::to_string(i) + ":b\r\n";
    CHECK(status_with(fields) == 404);
    for (int i = 40; i < 200; ++i) fields += "f" + std::to_string(i) + ":b\r\n";
    CHECK(status_with(fields) == 431);
    Wire student = Wire::to(site.daemon.signed_port());
    student.send("GET " + site.link(kVideo) + " HTTP/1.1\r\nEmpty:\r\nHost: cache.example.org\r\n\r\n");
    CHECK(read_response(student).status == 401);  // the host was read, and there is no token
}

// Guards against a connection held past the end of a drain: requests sent behind an open one, with no byte
// after new requests are rejected, did not give it the drain's deadline.
TEST_CASE("a request with others behind it has an answer by the drain's deadline") {
    Site site;
    const std::string token = site.token();
    Wire client = Wire::to(site.daemon.signed_port());
    std::string requests;
    for (const char* use : {"j0", "j1", "j2"})
        requests += request("POST", site.link(kEnrol, 60, use), token, "form");
    client.send(requests);
    Wire cache = site.cache.accept();
    read_req(cache);  // and no answer
    REQUIRE(admin_request(site.daemon.ops_port(), "POST", "/ops/drain/start") == 200);
    const auto drained = std::chrono::steady_clock::now();
    const Response last = read_response(client);
    const auto waited = std::chrono::steady_clock::now() - drained;
    CHECK(last.status == 504);
    CHECK(last.headers.at("Connection") == "close");
    CHECK(waited < std::chrono::microseconds(sumackeel::admin::DrainSchedule::kEndAfter));
}

// Guards: the same limits on new connections apply to both servers.
TEST_CASE("clients that only connect don't shut a student out") {
    Peer cache, parent, origin;
    sumackeel::config::SignedUrlServer front = make_server_config();
    front.connections = 8;
    Daemon daemon({host("s-cache", cache, "edge-1", "small"), host("s-parent", parent, "coast", "parent"),
                   host("s-origin", origin, "coast", "origin")},
                  "", operator_config_with(front));
    std::vector<Wire> idle;
    for (int i = 0; i < 40; ++i) idle.push_back(Wire::to(daemon.signed_port()));
    Wire student = Wire::to(daemon.signed_port());
    student.send(request("GET", "/nothing", {}));
    CHECK(read_response(student).status == 404);
}
