//! Encoding and verification of event ids.

use proptest::prelude::*;
use router::BadEventId;
use router::EventId;
use router::EventIdCodec;
use router::Origin;

fn ids() -> EventIdCodec {
    EventIdCodec::new(b"a secret of all streams")
}

prop_compose! {
    fn an_id()(
        server in ".{0,20}",
        incarnation: u64,
        stream in ".{0,20}",
        workspace in ".{0,20}",
        position: u32,
        last: bool,
    ) -> EventId {
        let origin = Origin { server, incarnation, stream, workspace };
        EventId { origin, position, last }
    }
}

proptest! {
    #[test]
    fn an_id_decodes_to_the_values_it_was_made_from(id in an_id()) {
        let text = ids().sign(&id.origin).id(id.position, id.last);

        prop_assert!(text.bytes().all(|byte| byte.is_ascii_graphic()));
        prop_assert_eq!(ids().decode(&text), Ok(id));
    }

    #[test]
    fn an_id_with_any_byte_changed_is_refused(id in an_id(), at: usize, byte in b'!'..b'~') {
        let text = ids().sign(&id.origin).id(id.position, id.last);
        let at = at % text.len();
        let mut changed = text.clone().into_bytes();
        changed[at] = byte;
        let changed = String::from_utf8(changed).unwrap();

        let decoded = ids().decode(&changed);

        // Upper-case hexadecimal digits decode to the same bytes.
        prop_assume!(!changed.eq_ignore_ascii_case(&text));
        prop_assert!(decoded.is_err());
    }

    #[test]
    fn any_text_is_refused_without_panic(text in ".{0,200}") {
        prop_assert!(ids().decode(&text).is_err());
    }
}

#[test]
fn an_id_under_another_secret_is_refused() {
    let origin = Origin {
        server: "e1".to_owned(),
        incarnation: 1,
        stream: "s".to_owned(),
        workspace: "w".to_owned(),
    };
    let other = EventIdCodec::new(b"another secret");

    let decoded = ids().decode(&other.sign(&origin).id(3, false));

    assert_eq!(decoded, Err(BadEventId::NotAuthentic));
}
