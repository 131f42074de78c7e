use super::*;

fn instance(vm: &str, incarnation: u64) -> Instance {
    Instance {
        vm: vm.parse().expect("the name is valid"),
        incarnation: Incarnation(incarnation),
    }
}

fn issued_id(witnesses: Vec<Instance>) -> IssuedId {
    IssuedId {
        intent: IntentId {
            home: instance("node:1.a", 0x19a),
            number: 77,
        },
        issued: Timestamp::from_millis(1_234),
        witnesses,
    }
}

#[test]
fn an_encoded_id_parses_back_unchanged() {
    let key = IdKey::new(b"a key of some length");
    for count in 0..=4 {
        let witnesses = (0..count).map(|n| instance(&format!("w-{n}"), n));
        let id = issued_id(witnesses.collect());
        assert_eq!(IssuedId::parse(&id.encode(&key), &key), Ok(id));
    }
}

#[test]
fn the_longest_names_fit_into_an_id() {
    let key = IdKey::new(b"a key of some length");
    let name = "x".repeat(crate::ids::MAX_ID_BYTES);
    let long = instance(&name, u64::MAX);
    let mut id = issued_id(vec![long.clone(); 4]);
    id.intent.home = long;
    assert_eq!(IssuedId::parse(&id.encode(&key), &key), Ok(id));
}

#[test]
fn an_id_with_any_altered_byte_is_rejected() {
    let key = IdKey::new(b"a key of some length");
    let text = issued_id(vec![instance("w-1", 5)]).encode(&key).to_string();
    for at in 0..text.len() {
        let mut bytes = text.clone().into_bytes();
        bytes[at] = if bytes[at] == b'0' { b'1' } else { b'0' };
        let altered = String::from_utf8(bytes).expect("it stays ASCII");
        let altered = altered.parse().expect("it stays an id");
        assert!(IssuedId::parse(&altered, &key).is_err(), "byte {at}");
    }
}

#[test]
fn an_id_of_another_key_or_format_is_rejected() {
    let id = issued_id(Vec::new()).encode(&IdKey::new(b"one key"));
    let other = IdKey::new(b"other key");
    assert_eq!(IssuedId::parse(&id, &other), Err(IdError::Altered));
    for text in [
        "booking-12",
        "m1:",
        "m1:1:1:6:node-1",
        "m1:1:1:99:node-1:1:",
    ] {
        let id = text.parse().expect("it is an id");
        assert_eq!(IssuedId::parse(&id, &other), Err(IdError::Malformed));
    }
}
