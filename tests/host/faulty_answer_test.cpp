/** @file Targets that repeat refusals or break off their answers. */

#include "support/host_case.h"
#include "support/relaying_host.h"

namespace cove {
namespace {

class faulty_answers : public host_case {
protected:
    unsigned ask_as(std::string const& attempt, std::string const& target)
    {
        http_request request(boost::beast::http::verb::put, target, 11);
        request.set(boost::beast::http::field::host, "desk.example");
        request.set("Attempt", attempt);
        request.set("Deadline", "1500");
        request.prepare_payload();
        return exchange_once(loop, client_address, std::move(request)).response.result_int();
    }

    static std::string served_as(std::string const& attempt)
    {
        return response("200 OK", "Attempt: " + attempt + "\r\nSignature: s\r\n", "whole body");
    }
};

struct refusal_case {
    char const* name;
    std::string repeated; ///< bytes before the answer to the second request
};

class repeated_refusals : public faulty_answers,
                          public testing::WithParamInterface<refusal_case> {};

TEST_P(repeated_refusals, are_not_taken_as_the_answer_to_a_request_that_runs)
{
    int runs = 0;
    auto const script = [&](std::string const& head) {
        if (head.find("Attempt: a1\r\n") != std::string::npos) {
            return scripted_answer{served_as("a1"), connection_action::keep};
        }
        ++runs;
        return scripted_answer{GetParam().repeated + served_as("a2"), connection_action::keep};
    };
    scripted_server one(loop, script);
    list({&one});
    configure(1, "/a/", false);
    ASSERT_EQ(ask_as("a1", "/a/1"), 200U);
    unsigned const got = ask_as("a2", "/a/2");
    EXPECT_TRUE(got == 200 || got == 502 || got == 504) << got;
    EXPECT_EQ(runs, 1);
}

INSTANTIATE_TEST_SUITE_P(
    cases, repeated_refusals,
    testing::Values(refusal_case{"with_its_id",
                                 response("503 Busy", "Attempt: a0\r\nNot-Run: 1\r\n")},
                    refusal_case{"without_id", response("503 Busy", "Not-Run: 1\r\n")},
                    refusal_case{"too_many_without_id", response("429 Many", "Not-Run: 1\r\n")},
                    refusal_case{"other_target_without_id", response("421 Other", "")},
                    refusal_case{"bad_request_without_id", response("400 Bad", "Not-Run: 1\r\n")},
                    refusal_case{"twice", response("503 Busy", "Not-Run: 1\r\n") +
                                              response("503 Busy", "Not-Run: 1\r\n")}),
    [](auto const& info) { return info.param.name; });

TEST_F(faulty_answers, a_request_that_was_refused_is_not_refused_again_by_the_same_answer)
{
    int arrivals = 0;
    std::string const refusal = response("503 Busy", "Attempt: a1\r\nNot-Run: 1\r\n");
    scripted_server one(loop, [&](std::string const&) {
        bool const first = arrivals++ == 0;
        // A kept connection gets the refusal once more, ahead of the next answer.
        bool const kept = !first && one.connections == 1;
        return scripted_answer{first ? refusal : (kept ? refusal : "") + served_as("a1"),
                               connection_action::keep};
    });
    list({&one});
    configure(1, "/a/", false);
    unsigned const got = ask_as("a1", "/a/1");
    EXPECT_TRUE(got == 200 || got == 502 || got == 504) << got;
    EXPECT_EQ(arrivals, 2);
}

class faulty_answers_over_a_relay : public relaying_host,
                                    public testing::WithParamInterface<bool> {};

// Guards against an invalid status that is passed on, or waited out, by either of the two hosts.
TEST_P(faulty_answers_over_a_relay, with_an_invalid_status_are_lost)
{
    cut_off_first_host(GetParam());
    auto const before = target.request_heads.size();
    answer = {response("000 Nothing", "Attempt: a1\r\nSignature: s\r\n"), connection_action::keep};
    raw_client client(loop, clients[0]);
    client.send(raw_request("/a/1"));
    EXPECT_TRUE(run_until(
        loop, [&] { return client.received().starts_with("HTTP/1.1 502"); }, milliseconds{700}))
        << client.received();
    EXPECT_EQ(target.request_heads.size(), before + (GetParam() ? 2U : 1U));
}

INSTANTIATE_TEST_SUITE_P(cases, faulty_answers_over_a_relay, testing::Bool(),
                         [](auto const& info) { return info.param ? "idempotent" : "once_only"; });

struct late_copy_case {
    char const* name;
    std::string ids[2]; ///< of the two requests; empty: they have none
    std::string copy;   ///< second copy of the first response
    bool between;       ///< arrives before the second request, else while it is written
};

class late_copies : public faulty_answers, public testing::WithParamInterface<late_copy_case> {
protected:
    static std::string answer_to(std::string const& attempt, std::string const& body)
    {
        return response("200 OK", "Attempt: " + attempt + "\r\nSignature: s\r\n", body);
    }

    exchange_result ask_as(std::string const& attempt, std::string const& body)
    {
        http_request request(boost::beast::http::verb::put, "/a/1", 11);
        request.set(boost::beast::http::field::host, "desk.example");
        request.set("Deadline", "1500");
        if (!attempt.empty()) {
            request.set("Attempt", attempt);
        }
        request.body() = body;
        request.prepare_payload();
        return exchange_once(loop, client_address, std::move(request));
    }
};

// Guards against a caller that gets the response to the request before on the same connection.
TEST_P(late_copies, never_reach_the_next_caller)
{
    late_copy_case const& with = GetParam();
    int runs = 0;
    scripted_server one(loop, [&](std::string const&) {
        bool const second = ++runs == 2;
        std::string const copy = second && !with.between && one.connections == 1 ? with.copy : "";
        return scripted_answer{copy +
                                   answer_to(with.ids[second ? 1 : 0], second ? "second" : "first"),
                               connection_action::keep};
    });
    list({&one});
    configure(1, "/a/", false);
    ASSERT_EQ(ask_as(with.ids[0], "").response.body(), "first");
    if (with.between) {
        one.send_to_all(with.copy); // the host may read it only after it has the next request
    }
    std::string const long_body(900'000, 'x'); // the copy arrives before all of it is sent
    exchange_result const got = ask_as(with.ids[1], long_body);
    EXPECT_NE(got.response.body(), "first");
    EXPECT_EQ(got.response.result_int(), 200U);
    EXPECT_EQ(runs, 2);
}

std::string copy_with(std::string const& status, std::string const& fields)
{
    return response(status, fields, "first");
}

INSTANTIATE_TEST_SUITE_P(
    cases, late_copies,
    testing::Values(
        late_copy_case{"with_its_id_between",
                       {"a1", "a2"},
                       copy_with("200 OK", "Attempt: a1\r\nSignature: s\r\n"),
                       true},
        late_copy_case{"with_its_id_in_writing",
                       {"a1", "a2"},
                       copy_with("200 OK", "Attempt: a1\r\nSignature: s\r\n"),
                       false},
        late_copy_case{
            "without_id_between", {"a1", "a2"}, copy_with("200 OK", "Signature: s\r\n"), true},
        late_copy_case{
            "without_id_in_writing", {"a1", "a2"}, copy_with("200 OK", "Signature: s\r\n"), false},
        late_copy_case{"failure_without_id_between",
                       {"a1", "a2"},
                       copy_with("500 Failed", "Signature: s\r\n"),
                       true},
        late_copy_case{"failure_without_id_in_writing",
                       {"a1", "a2"},
                       copy_with("500 Failed", "Signature: s\r\n"),
                       false},
        late_copy_case{"of_requests_without_id_between",
                       {"", ""},
                       copy_with("200 OK", "Attempt: \r\nSignature: s\r\n"),
                       true},
        late_copy_case{"of_requests_without_id_in_writing",
                       {"", ""},
                       copy_with("200 OK", "Attempt: \r\nSignature: s\r\n"),
                       false}),
    [](auto const& info) { return info.param.name; });

struct broken_case {
    char const* name;
    std::string answer;
    std::size_t whole_from; ///< bytes after which the answer is whole
    connection_action then;
    bool idempotent;
};

class broken_off_answers : public faulty_answers,
                           public testing::WithParamInterface<broken_case> {};

TEST_P(broken_off_answers, never_look_complete)
{
    std::size_t length = 0;
    scripted_server target(loop, [&](std::string const&) {
        return scripted_answer{GetParam().answer.substr(0, length), GetParam().then};
    });
    list({&target});
    configure(1, "/a/", GetParam().idempotent);
    for (length = 0; length <= GetParam().answer.size(); ++length) {
        auto const got = ask(client_address, "/a/1");
        if (length < GetParam().whole_from) {
            EXPECT_GE(got.response.result_int(), 500U) << length << " " << got.response.body();
            EXPECT_NE(got.response.result_int(), 503U) << length; // it may have run
        }
        else {
            EXPECT_EQ(got.response.result_int(), 200U) << length;
            EXPECT_EQ(got.response.body(), "whole body") << length;
        }
    }
}

std::string const with_length = response("200 OK", "Attempt: a1\r\nSignature: s\r\n", "whole body");
std::string const in_chunks =
    "HTTP/1.1 200 OK\r\nAttempt: a1\r\nSignature: s\r\n"
    "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n5\r\n body\r\n0\r\n\r\n";
std::string const until_close = "HTTP/1.1 200 OK\r\nAttempt: a1\r\nSignature: s\r\n\r\nwhole body";

INSTANTIATE_TEST_SUITE_P(
    cases, broken_off_answers,
    testing::Values(
        broken_case{"closed", with_length, with_length.size(), connection_action::close, false},
        broken_case{"reset", with_length, with_length.size(), connection_action::reset, false},
        broken_case{"closed_repeatable", with_length, with_length.size(), connection_action::close,
                    true},
        broken_case{"chunks_closed", in_chunks, in_chunks.size(), connection_action::close, false},
        broken_case{"chunks_reset", in_chunks, in_chunks.size(), connection_action::reset, false},
        // A close is the end of such an answer, so that only its head can break off visibly.
        broken_case{"head_without_length_closed",
                    until_close.substr(0, until_close.find("\r\n\r\n")), std::string::npos,
                    connection_action::close, false},
        broken_case{"without_length_reset", until_close, std::string::npos,
                    connection_action::reset, false}),
    [](auto const& info) { return info.param.name; });

struct invalid_case {
    char const* name;
    std::string answer;
};

class invalid_answers : public faulty_answers, public testing::WithParamInterface<invalid_case> {};

// MIXED: such an answer reached the client, with the odd line or with another body.
TEST_P(invalid_answers, are_lost_and_spoil_no_other)
{
    std::string answer = GetParam().answer;
    scripted_server target(loop, [&](std::string const&) { return scripted_answer{answer}; });
    list({&target});
    configure(1, "/a/");
    auto const got = ask(client_address, "/a/1");
    EXPECT_EQ(got.response.result_int(), 502U) << got.response.body(); // it may have run
    EXPECT_EQ(got.response.count("Signature"), 0U);
    answer = served;
    EXPECT_EQ(ask(client_address, "/a/2").response.body(), "whole body");
}

INSTANTIATE_TEST_SUITE_P(
    cases, invalid_answers,
    testing::Values(
        invalid_case{"status_000",
                     response("000 Odd", "Attempt: a1\r\nSignature: s\r\n", "odd body")},
        invalid_case{"blank_in_name",
                     response("200 OK", "Attempt: a1\r\nSignature: s\r\nOdd Name: x\r\n", "odd")},
        invalid_case{"control_byte_in_name",
                     response("200 OK", "Attempt: a1\r\nSignature: s\r\nOdd\x01: x\r\n", "odd")},
        invalid_case{"blank_before_name",
                     response("200 OK", "Attempt: a1\r\nSignature: s\r\n Odd: x\r\n", "odd")},
        invalid_case{"blank_before_length",
                     "HTTP/1.1 200 OK\r\nAttempt: a1\r\nSignature: s\r\n Content-Length: 3\r\n"
                     "Connection: close\r\n\r\nodd and more"}),
    [](auto const& info) { return info.param.name; });

class early_answers : public faulty_answers, public testing::WithParamInterface<bool> {};

// MIXED: the part of such an answer that had arrived was passed on as the whole of it.
TEST_P(early_answers, to_a_long_upload_are_lost_if_the_connection_breaks)
{
    constexpr std::size_t upload = 6 << 20; // bytes; more than the socket buffers hold
    scripted_server target(loop, [](std::string const&) {
        return scripted_answer{until_close, connection_action::reset, milliseconds{20}};
    });
    list({&target});
    config_document document = desk_config(1, "/a/", GetParam());
    document.config.limits.body_bytes = upload;
    store.config(document);
    exchange_result const got = ask(client_address, "/a/1", std::string(upload, 'x'));
    EXPECT_EQ(got.response.result_int(), 502U) << got.response.body(); // it may have run
    EXPECT_EQ(target.request_heads.size(), GetParam() ? 2U : 1U);
}

INSTANTIATE_TEST_SUITE_P(cases, early_answers, testing::Bool(),
                         [](auto const& info) { return info.param ? "idempotent" : "once_only"; });

} // namespace
} // namespace cove
