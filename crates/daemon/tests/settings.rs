//! Validation of the settings and its error messages.

use radishhavend::settings::{DEFAULTS, Settings};

/// Returns the error messages for a settings file.
fn messages(text: &str) -> Vec<String> {
    match Settings::parse("node.ini", text) {
        Ok(_) => Vec::new(),
        Err(errors) => errors.0.iter().map(ToString::to_string).collect(),
    }
}

#[test]
fn printed_defaults_match_the_code() {
    let printed = Settings::parse("defaults.ini", DEFAULTS).expect("the defaults are valid");
    let required = "[node]\nvm = node-1\nfailure_domain = mvd-centro\ncallers = 127.0.0.1:8080\n\
                  operators = 127.0.0.1:8081\n[peers]\nlisten = 127.0.0.1:8082\n\
                  key = change-me-change-me\n[platform]\nlog = 127.0.0.1:9001\n\
                  vms = 127.0.0.1:9002\n";
    let minimal = Settings::parse("least.ini", required).expect("the required settings are valid");
    assert_eq!(format!("{printed:?}"), format!("{minimal:?}"));
}

#[test]
fn invalid_value_is_reported_with_its_location_and_allowed_values() {
    let text = DEFAULTS.replace("max_attempts = 4", "max_attempts = 0");
    assert_eq!(
        messages(&text),
        ["node.ini: [retry] max_attempts = 0: allowed is 1 to 100"]
    );
}

#[test]
fn all_errors_are_reported() {
    let text = DEFAULTS
        .replace("level = info", "level = loud")
        .replace("vm = node-1\n", "")
        .replace("[retry]", "[retry]\nmax_atempts = 3")
        + "\n[nonsense]\na = b\n";
    let errors = messages(&text);
    assert_eq!(errors.len(), 4, "{errors:#?}");
    assert!(
        errors
            .iter()
            .any(|m| m.contains("[retry] max_atempts = 3: allowed are max_attempts"))
    );
    assert!(errors.iter().any(|m| m.contains("[node] vm is missing")));
    assert!(errors.iter().any(|m| m.contains("[nonsense] a = b")));
}

#[test]
fn short_key_is_rejected_and_not_shown() {
    let errors = messages(&DEFAULTS.replace("change-me-change-me", "hunter2"));
    assert_eq!(
        errors,
        ["node.ini: [peers] key = (hidden): allowed is at least 16 bytes"]
    );
}

#[test]
fn duplicate_keys_are_errors() {
    let text = DEFAULTS.replace("level = info", "level = info\nlevel = warn");
    assert_eq!(
        messages(&text),
        ["node.ini: [log] level is given more than once"]
    );
    let errors = messages(&format!("{DEFAULTS}\n[retry]\nmax_attempts = 3\n"));
    assert!(
        errors.contains(&"node.ini: [retry] max_attempts is given more than once".to_owned()),
        "{errors:#?}"
    );
}

#[test]
fn duplicate_secret_is_not_shown() {
    let key = "key = change-me-change-me";
    let errors = messages(&DEFAULTS.replace(key, &format!("{key}\nkey = another-secret-of-24-b")));
    assert_eq!(errors, ["node.ini: [peers] key is given more than once"]);
}

#[test]
fn operators_on_public_address_need_a_token_that_is_not_shown() {
    let public = DEFAULTS.replace("operators = 127.0.0.1:8081", "operators = 10.0.0.1:8081");
    let errors = messages(&public);
    assert_eq!(errors.len(), 1, "{errors:#?}");
    assert!(errors[0].contains("[operators] token_sha256 is missing"));
    let short = public.replace("; token_sha256 = 000", "token_sha256 = 12");
    assert!(messages(&short)[0].contains("[operators] token_sha256 = (hidden)"));
    let valid = public.replace("; token_sha256", "token_sha256");
    let settings = Settings::parse("node.ini", &valid).expect("the token is valid");
    assert!(!format!("{settings:?}").contains("000000"));
}
