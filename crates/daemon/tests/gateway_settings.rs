//! Tests of a gateway's settings: valid values, and the errors for invalid
//! ones.

use radishhaven_core::gateway::hedging::HedgePercent;
use radishhavend::gateway::GatewaySettings;

/// The settings template, which the platform fills in for each VM.
const TEMPLATE: &str = include_str!("../../../deploy/gateway.ini");

/// The template with the limits of the VM.
const TEMPLATE_WITH_LIMITS: &str = include_str!("../../../deploy/front.ini");

/// Returns the template with values for one VM, as the platform fills them in.
fn filled_template() -> String {
    fill(TEMPLATE)
}

fn fill(template: &str) -> String {
    let values = [
        ("{{node_name}}", "front-1"),
        ("{{zone}}", "centro"),
        ("{{listen.front}}", "10.1.0.9:8428"),
        ("{{listen.ready}}", "10.1.0.9:8423"),
        ("{{listen.directory}}", "10.1.0.9:8422"),
        ("{{ip}}", "10.1.0.9"),
        ("{{internal_ports.0}}", "7020"),
        ("{{internal_ports.1}}", "7035"),
        ("{{platform.address}}", "10.200.1.7:8223"),
        ("{{heartbeat_ms}}", "1200"),
        ("{{platform.ttl_min_ms}}", "1000"),
        ("{{platform.parts}}", "12"),
        ("{{platform.writes_per_s}}", "400"),
        ("{{limits.cpu_share}}", "0.25"),
        ("{{limits.memory_mb}}", "112"),
        ("{{limits.max_fds}}", "264"),
        ("{{bounds.config_ms}}", "2000"),
        ("{{bounds.stability_window_ms}}", "3000"),
        ("{{bounds.revoke_ms}}", "5000"),
        ("{{bounds.drain_ms}}", "2000"),
        ("{{bounds.grace_period_s}}", "8"),
        ("{{bounds.ttl_max_s}}", "5"),
        ("{{bounds.budget_ratio}}", "0.2"),
        ("{{bounds.budget_window_s}}", "10"),
        ("{{bounds.budget_slack}}", "198"),
    ];
    let fill = |text: String, (name, value): &(&str, &str)| text.replace(name, value);
    values.iter().fold(template.to_owned(), fill)
}

fn error_messages(text: &str) -> Vec<String> {
    match GatewaySettings::parse("gateway.ini", text) {
        Ok(_) => Vec::new(),
        Err(errors) => errors.0.iter().map(ToString::to_string).collect(),
    }
}

#[test]
fn filled_template_is_valid() {
    let text = filled_template();
    assert!(!text.contains("{{"), "a value is missing:\n{text}");
    let settings = GatewaySettings::parse("gateway.ini", &text).expect("it is valid");
    assert_eq!(settings.node.vm.as_str(), "front-1");
    assert_eq!(settings.bounds.drain_time.as_millis(), 2_000);
    assert_eq!(settings.node.processor.0, 250);
}

/// The platform leaves a value empty that it does not have.
#[test]
fn empty_value_is_reported_with_the_allowed_range() {
    let text = filled_template().replace("drain_ms = 2000", "drain_ms = ");
    let errors = error_messages(&text);
    assert_eq!(errors.len(), 1, "{errors:#?}");
    assert!(
        errors[0].starts_with("gateway.ini: [bounds] drain_ms = : allowed is a number from 0"),
        "{errors:#?}"
    );
}

#[test]
fn all_invalid_values_are_reported_at_once() {
    let text = filled_template()
        .replace("callers = 10.1.0.9:8428", "callers = here")
        .replace("revoke_ms = 5000", "revoke_ms = -1")
        .replace("retry_ratio = 0.2", "retry_ratio = NaN")
        .replace("vm = front-1", "vm = front 1")
        .replace("level = info", "level = loud");
    let errors = error_messages(&text);
    for key in [
        "callers = here",
        "revoke_ms = -1",
        "retry_ratio = NaN",
        "vm = front 1",
        "level = loud",
    ] {
        assert!(errors.iter().any(|m| m.contains(key)), "{key}: {errors:#?}");
    }
    assert_eq!(errors.len(), 5, "{errors:#?}");
}

#[test]
fn missing_section_reports_each_of_its_keys() {
    let text = filled_template();
    let (before, after) = text.split_once("[store]").expect("the section is there");
    let (_, after) = after.split_once("[bounds]").expect("the section is there");
    let errors = error_messages(&format!("{before}[bounds]{after}"));
    for key in [
        "address",
        "heartbeat_ms",
        "least_ttl_ms",
        "partitions",
        "writes_per_s",
    ] {
        let missing = format!("gateway.ini: [store] {key} is missing");
        assert!(
            errors.iter().any(|m| m.starts_with(&missing)),
            "{missing}: {errors:#?}"
        );
    }
}

#[test]
fn hedging_is_off_unless_it_is_set() {
    let settings = GatewaySettings::parse("gateway.ini", &filled_template()).expect("it is valid");
    assert_eq!(settings.hedging, HedgePercent::default());
    let text = filled_template() + "[hedging]\nmax_percent = 5\n";
    let settings = GatewaySettings::parse("gateway.ini", &text).expect("it is valid");
    assert_eq!(Ok(settings.hedging), HedgePercent::try_from(5));
}

/// Guards against a limit that would double the load of servers, and against a key that is
/// misspelt and so has no effect.
#[test]
fn invalid_limit_of_hedges_is_reported() {
    for line in [
        "max_percent = 51",
        "max_percent = -1",
        "max_percent = 2.5",
        "max_percent = ",
    ] {
        let errors = error_messages(&(filled_template() + "[hedging]\n" + line + "\n"));
        let expected =
            format!("gateway.ini: [hedging] {line}: allowed is a whole number from 0 to 50");
        assert_eq!(errors, [expected]);
    }
    let errors = error_messages(&(filled_template() + "[hedging]\npercent = 5\n"));
    assert!(
        errors.len() == 1 && errors[0].contains("max_percent"),
        "{errors:#?}"
    );
}

/// A bound of zero or beyond the VM would leave the node without its protection against
/// callers that exhaust its memory.
#[test]
fn limits_that_the_vm_does_not_have_are_reported() {
    let text = filled_template().replace("[log]", "[limits]\nmemory_mb = 0\n[log]");
    let errors = error_messages(&text);
    assert_eq!(errors.len(), 1, "{errors:#?}");
    let expected = "gateway.ini: [limits] memory_mb = 0: allowed is 48 to ";
    assert!(errors[0].starts_with(expected), "{errors:#?}");
    for (key, value) in [
        ("memory_mb", "4000000000"),
        ("memory_mb", ""),
        ("memory_mb", "-112"),
        ("max_descriptors", "0"),
        ("max_descriptors", "4000000000"),
        ("max_descriptors", "many"),
    ] {
        let limits = format!("[limits]\n{key} = {value}\n[log]");
        let errors = error_messages(&filled_template().replace("[log]", &limits));
        assert_eq!(errors.len(), 1, "{key} = {value}: {errors:#?}");
        assert!(errors[0].contains(key), "{key} = {value}: {errors:#?}");
    }
}

/// The limits of the smallest VM apply to settings that name none.
#[test]
fn missing_limits_are_those_of_the_smallest_vm() {
    let without = filled_template();
    let settings = GatewaySettings::parse("gateway.ini", &without).expect("it is valid");
    assert!(settings.limits.memory_mb <= 112);
    assert!(settings.limits.max_descriptors <= 2_870);
    let limits = "[limits]\nmemory_mb = 64\nmax_descriptors = 300\n[log]";
    let text = without.replace("[log]", limits);
    let settings = GatewaySettings::parse("gateway.ini", &text).expect("it is valid");
    assert_eq!(settings.limits.memory_mb, 64);
    assert_eq!(settings.limits.max_descriptors, 300);
}

/// Guards against templates that differ in more than the limits of the VM.
#[test]
fn templates_differ_by_the_limits_alone() {
    let text = fill(TEMPLATE_WITH_LIMITS);
    assert!(!text.contains("{{"), "a value is missing:\n{text}");
    let settings = GatewaySettings::parse("front.ini", &text).expect("it is valid");
    assert_eq!(settings.limits.memory_mb, 112);
    assert_eq!(settings.limits.max_descriptors, 264);
    let limits = "[limits]\nmemory_mb = {{limits.memory_mb}}\n\
                  max_descriptors = {{limits.max_fds}}\n\n";
    assert_eq!(TEMPLATE_WITH_LIMITS.replace(limits, ""), TEMPLATE);
}
