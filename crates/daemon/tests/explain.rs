//! Explanations of requests from the log lines of several nodes.

use radishhavend::explain::Explanation;

const LINES: &str = r#"
   1.0 front-1 {"level":"info","timestamp":1000,"payload":"a dependency is lost","kv":{"dependency":"configuration","error":"no answer within 2.3s"},"tid":1}
   4.1 front-1 {"level":"info","timestamp":4100,"payload":"a send ended without an answer","kv":{"request":"dead","route":"r-1","server":"i-1","outcome":"silent","detail":"i-2","took_ms":470,"runs":0,"not_run":0}}
   4.2 front-1 {"level":"info","timestamp":4200,"payload":"a stream moves to another path","kv":{"request":"cut","why":"silent","suspects":"i-2,i-3","silent_ms":455,"after_event":"17","resumed":false}}
   4.9 front-1 {"level":"warn","timestamp":4900,"payload":"a stream was cut","kv":{"request":"cut","reason":"broken","events":17,"resumes":0,"silent_ms":2200,"took_ms":3100}}
   5.0 front-2 {"level":"info","timestamp":5000,"payload":"an engine was told which layers to hold","kv":{"server":"i-3","layers":"0..18","token":4,"outcome":"begun","error":""}}
   5.1 front-1 {"level":"info","timestamp":5100,"payload":"the registry changed","kv":{"server":"i-2","change":"removed","layers":""}}
   5.1 front-2 {"level":"info","timestamp":5100,"payload":"the registry changed","kv":{"server":"i-2","change":"removed","layers":""}}
   5.2 front-1 {"level":"info","timestamp":5200,"payload":"the registry changed","kv":{"server":"i-9","change":"removed","layers":""}}
   6.0 front-2 {"level":"info","timestamp":6000,"payload":"a request ended without a server's answer","kv":{"request":"full","route":"r-1","status":503,"reason":"no room in time","waited_ms":1200,"took_ms":1201,"runs":0,"not_run":0,"proof_ms":900}}
   6.1 front-1 {"level":"info","timestamp":6100,"payload":"a request was rejected","kv":{"request":"denied","route":"","status":503,"reason":"the configuration was not confirmed recently","version":13,"proof_ms":4600}}
   6.2 front-2 {"level":"info","timestamp":6200,"payload":"a stream ended","kv":{"request":"late","events":57,"resumes":1,"waited_ms":0,"first_ms":41,"longest_gap_ms":624,"path":"900ms first 40ms i-4=0..40 > i-5=40..80"}}
   7.0 front-3 {"level":"info","timestamp":7000,"payload":"a request is sent","kv":{"request":"left","route":"r-1","path":"700ms first 30ms i-6=0..80","waited_ms":12,"left_ms":19000,"version":3,"registry_ms":400,"runs":0,"not_run":0}}
   8.9 front-3 {"level":"info","timestamp":8900,"payload":"the caller left before the end","kv":{"request":"left","route":"r-1","waited_ms":12,"took_ms":1912,"runs":0,"not_run":0}}
   9.0 front-4 {"level":"info","timestamp":9000,"payload":"a request is sent","kv":{"request":"killed","route":"r-1","path":"700ms first 30ms i-6=0..80","waited_ms":0,"left_ms":19000,"version":3,"registry_ms":400,"runs":0,"not_run":0}}
   9.5 front-5 {"level":"info","timestamp":9500,"payload":"the node stopped before the end","kv":{"request":"stopped","route":"r-1","waited_ms":0,"took_ms":8100,"runs":1,"not_run":0}}
   9.9 front-4 {"level":"info","timestamp":9900,"payload":"the gateway starts","kv":{"vm":"front-4"}}
   9.95 front-6 {"level":"info","timestamp":9950,"payload":"a hedge is sent","kv":{"request":"hedged","service":"libro","server":"i-8","first":"i-7","delay_ms":61,"first_age_ms":62,"left_ms":900}}
   9.96 front-6 {"level":"info","timestamp":9960,"payload":"a hedge won","kv":{"request":"hedged","service":"libro","server":"i-8","first":"i-7","delay_ms":61,"took_ms":20,"first_age_ms":82}}
   9.97 front-6 {"level":"info","timestamp":9970,"payload":"a request was answered","kv":{"request":"hedged","route":"r-1","status":200,"how":"whole","waited_ms":0,"took_ms":83,"runs":2,"not_run":0}}
   not a line of a log
   {"timestamp":"broken","payload":7}
"#;

fn explain(request: &str) -> String {
    let mut explanation = Explanation::new(request);
    LINES.lines().for_each(|line| explanation.add_line(line));
    explanation.to_string()
}

#[track_caller]
fn assert_contains(text: &str, parts: &[&str]) {
    for part in parts {
        assert!(text.contains(part), "{part:?} is not in:\n{text}");
    }
}

#[test]
fn cut_stream_names_the_failed_engines_and_their_outcome() {
    let text = explain("cut");
    assert_contains(
        &text,
        &[
            "Cause: The stream was cut: broken.",
            "silent at i-2,i-3 after 455 ms",
            "i-2 was removed from the registry",
            "i-3 was ordered to hold 0..18",
        ],
    );
    assert!(
        !text.contains("i-9"),
        "names a server of other requests:\n{text}"
    );
    let removed = text.lines().filter(|line| line.contains("change=removed"));
    assert_eq!(
        removed.count(),
        1,
        "only the line of the request's own node belongs here:\n{text}"
    );
}

#[test]
fn refused_request_reports_its_wait_and_that_nothing_ran() {
    let text = explain("full");
    assert_contains(
        &text,
        &[
            "503",
            "including 1200 ms of waiting for capacity: no room in time; no backend server ran the request",
        ],
    );
}

#[test]
fn rejection_reports_configuration_age_and_store_error() {
    let text = explain("denied");
    assert_contains(
        &text,
        &[
            "version 13 of the configuration, last confirmed 4600 ms earlier",
            "could not read the configuration from the store",
            "no answer within 2.3s",
        ],
    );
}

#[test]
fn complete_stream_reports_its_delays() {
    let text = explain("late");
    assert_contains(
        &text,
        &["longest gap 624 ms; resumed 1 times", "crosses 1 links"],
    );
}

#[test]
fn request_without_a_logged_end_differs_from_an_unknown_one() {
    assert_contains(
        &explain("dead"),
        &["do not show how the request ended", "silent"],
    );
    assert_contains(
        &explain("left"),
        &[
            "The caller disconnected, or its connection broke, after 1912 ms",
            "the request had been sent 1 times",
        ],
    );
    assert_contains(
        &explain("killed"),
        &["exited without logging the end of the request, and started again at 9900"],
    );
    let unknown = explain("never-seen");
    assert_contains(&unknown, &["No log line names never-seen"]);
}

/// Guards against an explanation that hides the second server.
#[test]
fn hedged_request_names_both_servers_and_the_delay() {
    let text = explain("hedged");
    assert_contains(
        &text,
        &[
            "Cause: A backend server responded with status 200 after 83 ms",
            "i-7 had not answered after 62 ms, so the request was also sent to i-8",
            "i-8 answered 20 ms after that, and the first attempt was cancelled",
            "No backend server failed the request.",
        ],
    );
}
