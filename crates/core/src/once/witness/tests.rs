use super::*;
use crate::ids::Incarnation;

const RETENTION: Duration = Duration::from_secs(10);

fn intent(number: u64) -> IntentId {
    let home = Instance {
        vm: "node-1".parse().expect("the name is valid"),
        incarnation: Incarnation(1),
    };
    IntentId { home, number }
}

#[test]
fn the_first_record_of_an_id_is_final() {
    let mut table = WitnessTable::default();
    let now = Timestamp(0);
    assert_eq!(table.seal(now, &intent(1)), SealAnswer::Sealed);
    assert_eq!(table.intend(now, &intent(1)), IntendAnswer::Sealed);
    assert_eq!(table.intend(now, &intent(2)), IntendAnswer::Recorded);
    assert_eq!(table.seal(now, &intent(2)), SealAnswer::Intended(None));
    assert_eq!(table.intend(now, &intent(2)), IntendAnswer::Recorded);
}

#[test]
fn an_id_below_the_floor_can_be_neither_intended_nor_proved_sealed() {
    let mut table = WitnessTable::default();
    table.seal(Timestamp(0), &intent(5));
    let later = Timestamp(0) + RETENTION * 2;
    table.drop_old(later, RETENTION, usize::MAX);
    assert!(table.is_empty());
    for number in [4, 5] {
        assert_eq!(table.intend(later, &intent(number)), IntendAnswer::Sealed);
        assert_eq!(table.seal(later, &intent(number)), SealAnswer::Forgotten);
    }
    assert_eq!(table.intend(later, &intent(6)), IntendAnswer::Recorded);
}

#[test]
fn the_number_of_recorded_ids_is_bounded() {
    let mut table = WitnessTable::default();
    for number in 1..=100 {
        table.intend(Timestamp(number), &intent(number));
        table.drop_old(Timestamp(number), RETENTION, 10);
    }
    assert_eq!(table.len(), 10);
}
