// Stories over loopback: signed links and students' tokens from the client to the cache and back.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>
#include <signal.h>

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

sumackeel::config::SignedUrlServer setup() {
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

sumackeel::config::Operator setup_of(const sumackeel::config::SignedUrlServer& front) {
    sumackeel::config::Operator all;
    all.signed_url_server = front;
    return all;
}

struct Site {
    Peer cache, parent, origin;
    sumackeel::config::SignedUrlServer front = setup();
    LinkVerifier signer{front};
    Daemon daemon{{host("s-cache", cache, "edge-1", "small"), host("s-parent", parent, "coast", "parent"),
                   host("s-origin", origin, "coast", "origin")},
                  "",
                  setup_of(front)};

    std::string link(const std::string& path, double good_for = 60, const std::string& jti = {},
                     const std::string& student = "ana", const std::string& kid = "link-1") {
        sumackeel::signed_url_server::Target target;
        REQUIRE(sumackeel::signed_url_server::parse_target(path, target));
        const std::string uri = signer.sign(target, kid, "subject-1", student, now() + good_for, jti);
        return uri.substr(std::string("https://cache.example.org").size());
    }
    std::string token(const std::string& student = "ana", double good_for = 60) {
        return signer.student_token("student-1", student, now() + good_for);
    }
};

std::string request(const std::string& method, const std::string& target, const std::string& token,
                    const std::string& body = {}, const std::string& more = {}) {
    return method + " " + target + " HTTP/1.1\r\nHost: cache.example.org\r\n" +
           (token.empty() ? "" : "Authorization: Bearer " + token + "\r\n") + more +
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

// Guards: what does not hold is turned away at the gate and costs the caches nothing.
TEST_CASE("valid, expired and forged links are replayed and their outcomes counted") {
    Site site;
    const std::string ana = site.token(), valid = site.link(kVideo);
    std::string elsewhere = valid;
    elsewhere.replace(elsewhere.find("655/3"), 5, "655/4");
    const std::string none = "eyJhbGciOiJub25lIn0.e30.";
    const std::vector<std::pair<std::string, std::string>> replayed{
        {valid, ana},
        {valid, ana},
        {site.link(kVideo, -1), ana},                         // expired
        {tampered(valid), ana},                               // forged
        {kVideo + "&URISigningPackage=" + none, ana},         // unsigned
        {kVideo + "&URISigningPackage=" + ana, ana},          // a student's token is no link
        {site.link(kVideo, 60, "", "ana", "link-old"), ana},  // by a key out of use
        {elsewhere, ana},                                     // another part's link
        {kVideo, ana},                                        // no link
        {valid, site.token("bia")},                           // another student's link
        {valid, ""},
        {valid, tampered(ana)},
        {valid, site.token("ana", -1)},
        {"/video/../enrol", ana},
        {"/nothing/7f3a9c21e0b4d655", ana}};
    Wire client = Wire::to(site.daemon.signed_port()), cache;
    std::map<int, int> outcomes;
    for (const auto& [link, token] : replayed) {
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

// Guards: the gate is passed once. What has been let in ends in one answer, whatever its link does meanwhile.
TEST_CASE("a link that expires in flight still ends in one answer") {
    Site site;
    const double expires_in = 0.3;
    const double expired = now() + expires_in;  // or a little later: signing takes its time
    // Large, so that the attempt itself has time long beyond the link's.
    const std::string link = site.link("/video/7f3a9c21e0b4d655/3?set=17&need=20000", expires_in),
                      ana = site.token();
    Wire client = Wire::to(site.daemon.signed_port());
    client.send(request("GET", link, ana));
    Wire cache = site.cache.accept();
    const Req req = read_req(cache);
    Wire other = Wire::to(site.daemon.signed_port());
    int status = 0;
    while (status != 403) {  // until the gate itself takes the link for expired
        other.send(request("GET", link, ana, "", "Prefer: wait=0.05\r\n"));
        status = read_response(other).status;
    }
    CHECK(now() >= expired);
    cache.send(req.id + " DONE digest=ab12 5\r\nvideo\r\n");
    const Response response = read_response(client);
    CHECK(response.status == 200);
    CHECK(response.body == "video");
    CHECK(client.quiet());
}

// Guards: enrol runs at most once a link, a forged one never reaches a cache, and what may have run is not
// let in again, while what was refused unseen may be.
TEST_CASE("enrol by links for one use") {
    Site site;
    const std::string ana = site.token();
    Wire client = Wire::to(site.daemon.signed_port());
    const auto status_of = [&](const std::string& link) {
        client.send(request("POST", link, ana, "form"));
        return read_response(client).status;
    };
    CHECK(status_of(tampered(site.link(kEnrol, 60, "j1"))) == 403);
    CHECK(status_of(site.link(kEnrol)) == 403);  // not for one use
    CHECK_FALSE(site.cache.called());

    const std::string first = site.link(kEnrol, 60, "j2");
    client.send(request("POST", first, ana, "form"));
    Wire cache = site.cache.accept();
    const Req req = read_req(cache);
    CHECK(req.body == "form");
    cache.send(req.id + " DONE - 2\r\nin\r\n");
    CHECK(read_response(client).body == "in");
    CHECK(status_of(first) == 403);

    const std::string broken = site.link(kEnrol, 60, "j3");
    client.send(request("POST", broken, ana, "form"));
    read_req(cache);
    cache.reset();
    CHECK(read_response(client).status == 502);
    CHECK(status_of(broken) == 403);
}

// Guards: a refusal says when to come back, and the link for one use that it met is good again.
TEST_CASE("refusals, time-outs and unmodified copies as HTTP words them") {
    Site site;
    const std::string ana = site.token();
    Wire client = Wire::to(site.daemon.signed_port());
    client.send(request("GET", site.link(kVideo), ana, "", "If-None-Match: \"ab12\"\r\n"));
    Wire cache = site.cache.accept();
    const Req held = read_req(cache);
    CHECK(held.fields.at("got") == "ab12");
    cache.send(held.id + " KEEP digest=ab12 0\r\n\r\n");
    const Response same = read_response(client);
    CHECK(same.status == 304);
    CHECK(same.headers.at("ETag") == "\"ab12\"");

    client.send(request("POST", site.link(kEnrol, 60, "j0"), ana, "form", "Prefer: wait=0.4\r\n"));
    read_req(cache);
    CHECK(read_response(client).status == 504);

    site.cache.stop(), site.parent.stop(), site.origin.stop();
    cache.reset();
    const std::string once = site.link(kEnrol, 60, "j1");
    for (int i = 0; i < 2; ++i) {  // refused unseen, so the same link is let in a second time
        client.send(request("POST", once, ana, "form"));
        const Response refused = read_response(client);
        CHECK(refused.status == 503);
        CHECK(refused.headers.contains("Retry-After"));
        CHECK(refused.body.find("nothing ran") != std::string::npos);
    }
}

// Guards: what an operator takes back while the proxies run holds for the next request.
TEST_CASE("a revoked link and a key that was switched off") {
    const auto front = setup();
    std::map<std::string, std::string> live;
    const LinkVerifier gate(front, [&](const std::string& key) {
        const auto found = live.find(key);
        return found == live.end() ? std::nullopt : std::optional(found->second);
    });
    sumackeel::signed_url_server::Target target;
    REQUIRE(sumackeel::signed_url_server::parse_target(kEnrol, target));
    const std::string uri = gate.sign(target, "link-1", "subject-1", "ana", now() + 60, "j1");
    const std::string ana = gate.student_token("student-1", "ana", now() + 60);
    sumackeel::signed_url_server::Target link;
    REQUIRE(sumackeel::signed_url_server::parse_target(uri.substr(uri.find("/enrol")), link));
    const auto status = [&](double at) { return gate.check(link, ana, true, at).status; };
    CHECK(status(now()) == 0);
    CHECK(status(now() + 65) == 401);
    live["setting/leeway_s"] = "10";
    CHECK(status(now() + 65) == 0);
    live["revoked/j1"] = "yes";
    CHECK(status(now()) == 403);
    live.erase("revoked/j1");
    live["key/link-1"] = "off";
    CHECK(status(now()) == 403);
    live["key/student-1"] = "off";
    CHECK(status(now()) == 401);
}

// Guards: a key taken out of the operator's file must open nothing from the reload on, without a restart.
TEST_CASE("on SIGHUP the operator's file is read anew with its keys") {
    Peer cache, parent, origin;
    const std::vector<std::string> hosts{host("s-cache", cache, "edge-1", "small"),
                                         host("s-parent", parent, "coast", "parent"),
                                         host("s-origin", origin, "coast", "origin")};
    const Folder folder;
    const auto write_keys = [&](const std::string& link_kid) {
        std::string keys;
        for (const auto& key : setup().keys) {
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
    const sumackeel::config::SignedUrlServer front = setup();
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
    // Files are read off the loop; the first answer behind that is by the new keys.
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

// Guards: the same door stands before both fronts.
TEST_CASE("clients that only connect don't shut a student out") {
    Peer cache, parent, origin;
    sumackeel::config::SignedUrlServer front = setup();
    front.connections = 8;
    Daemon daemon({host("s-cache", cache, "edge-1", "small"), host("s-parent", parent, "coast", "parent"),
                   host("s-origin", origin, "coast", "origin")},
                  {}, setup_of(front));
    std::vector<Wire> silent;
    for (int i = 0; i < 40; ++i) silent.push_back(Wire::to(daemon.signed_port()));
    Wire student = Wire::to(daemon.signed_port());
    student.send(request("GET", "/nothing", {}));
    CHECK(read_response(student).status == 404);
}
