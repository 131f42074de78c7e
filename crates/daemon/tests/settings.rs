//! The settings: what is valid, and what the messages say of the rest.

use radishhavend::settings::{DEFAULTS, Settings};

fn messages(text: &str) -> Vec<String> {
    match Settings::parse("node.ini", text) {
        Ok(_) => Vec::new(),
        Err(errors) => errors.0.iter().map(ToString::to_string).collect(),
    }
}

#[test]
fn the_printed_defaults_are_valid_and_are_the_defaults() {
    let shown = Settings::parse("defaults.ini", DEFAULTS).expect("the defaults are valid");
    let needed = "[node]\nvm = node-1\nfailure_domain = mvd-centro\ncallers = 127.0.0.1:8080\n\
                  operators = 127.0.0.1:8081\n[peers]\nlisten = 127.0.0.1:8082\n\
                  key = change-me-change-me\n[platform]\nlog = 127.0.0.1:9001\n\
                  vms = 127.0.0.1:9002\n";
    let least = Settings::parse("least.ini", needed).expect("the least is valid");
    assert_eq!(format!("{shown:?}"), format!("{least:?}"));
}

#[test]
fn a_wrong_value_names_file_section_key_value_and_what_is_allowed() {
    let text = DEFAULTS.replace("max_attempts = 4", "max_attempts = 0");
    assert_eq!(
        messages(&text),
        ["node.ini: [retry] max_attempts = 0: allowed is 1 to 100"]
    );
}

#[test]
fn every_mistake_is_reported() {
    let text = DEFAULTS
        .replace("level = info", "level = loud")
        .replace("vm = node-1\n", "")
        .replace("[retry]", "[retry]\nmax_atempts = 3")
        + "\n[nonsense]\na = b\n";
    let found = messages(&text);
    assert_eq!(found.len(), 4, "{found:#?}");
    assert!(
        found
            .iter()
            .any(|m| m.contains("[retry] max_atempts = 3: allowed are max_attempts"))
    );
    assert!(found.iter().any(|m| m.contains("[node] vm is missing")));
    assert!(found.iter().any(|m| m.contains("[nonsense] a = b")));
}

#[test]
fn a_short_key_is_refused_and_not_shown() {
    let found = messages(&DEFAULTS.replace("change-me-change-me", "hunter2"));
    assert_eq!(
        found,
        ["node.ini: [peers] key = (hidden): allowed is at least 16 bytes"]
    );
}

#[test]
fn what_is_given_twice_is_a_mistake() {
    let text = DEFAULTS.replace("level = info", "level = info\nlevel = warn");
    assert_eq!(
        messages(&text),
        ["node.ini: [log] level is given more than once"]
    );
    let found = messages(&format!("{DEFAULTS}\n[retry]\nmax_attempts = 3\n"));
    assert!(
        found.contains(&"node.ini: [retry] max_attempts is given more than once".to_owned()),
        "{found:#?}"
    );
}

#[test]
fn a_secret_given_twice_is_not_shown() {
    let key = "key = change-me-change-me";
    let found = messages(&DEFAULTS.replace(key, &format!("{key}\nkey = another-secret-of-24-b")));
    assert_eq!(found, ["node.ini: [peers] key is given more than once"]);
}

#[test]
fn operators_off_the_loopback_need_a_token_which_is_not_shown() {
    let public = DEFAULTS.replace("operators = 127.0.0.1:8081", "operators = 10.0.0.1:8081");
    let found = messages(&public);
    assert_eq!(found.len(), 1, "{found:#?}");
    assert!(found[0].contains("[operators] token_sha256 is missing"));
    let short = public.replace("; token_sha256 = 000", "token_sha256 = 12");
    assert!(messages(&short)[0].contains("[operators] token_sha256 = (hidden)"));
    let whole = public.replace("; token_sha256", "token_sha256");
    let settings = Settings::parse("node.ini", &whole).expect("the token is valid");
    assert!(!format!("{settings:?}").contains("000000"));
}
