//! Encoding and decoding of messages.

use std::sync::Arc;

use config::Config;
use config::Model;
use peer::WireMessage;
use policy::BlockKey;
use policy::CellLoad;
use policy::Incarnation;
use policy::PeerMessage;
use policy::Placed;
use policy::PlacementQuery;
use policy::ServerInstance;
use policy::Snapshot;
use policy::Strike;
use proptest::collection::vec;
use proptest::option;
use proptest::prelude::*;

fn arb_name() -> impl Strategy<Value = String> {
    ".{0,12}"
}

prop_compose! {
    fn arb_config()(name in arb_name(), weights_version: u64, prefill in 0.0..1e6f64) -> Arc<Config> {
        let mut config = Config::default();
        let model = Model {
            weights_version,
            prefill_ms_per_1000_tokens: prefill,
            kv_bytes_per_token: 1,
        };
        config.models.insert(name, model);
        Arc::new(config)
    }
}

prop_compose! {
    fn arb_server_instance()(server in arb_name(), incarnation: u64) -> ServerInstance {
        ServerInstance { server, incarnation: Incarnation(incarnation) }
    }
}

prop_compose! {
    fn arb_strike()(fingerprint: u64, mark in arb_server_instance(), at_ms: u64, on_trial: bool) -> Strike {
        Strike { fingerprint, mark, at_ms, on_trial }
    }
}

prop_compose! {
    fn arb_cell_load()(cell: u64, queued_tokens: u32, least_queued_tokens: u32) -> CellLoad {
        CellLoad { cell, queued_tokens, least_queued_tokens }
    }
}

prop_compose! {
    fn arb_placement_query()(
        ticket: u64,
        cell: u64,
        pieces in vec(any::<u64>().prop_map(BlockKey), 0..9),
        prompt_tokens: u32,
        rank: u8,
        fingerprint: u64,
        workspace in arb_name(),
        model in arb_name(),
        avoid in vec(arb_name(), 0..3),
    ) -> PlacementQuery {
        PlacementQuery {
            ticket, cell, pieces, prompt_tokens, rank, fingerprint, workspace, model, avoid,
        }
    }
}

prop_compose! {
    fn arb_placed()(
        ticket: u64,
        server in option::of(arb_server_instance()),
        fetch_from in option::of(arb_server_instance()),
        expected_cached_tokens: u32,
        expected_wait_ms: u32,
    ) -> Placed {
        Placed { ticket, server, fetch_from, expected_cached_tokens, expected_wait_ms }
    }
}

prop_compose! {
    fn arb_snapshot()(
        config in option::of((any::<u64>(), arb_config())),
        leaving in vec(arb_server_instance(), 0..4),
        strikes in vec(arb_strike(), 0..4),
        cells in vec(arb_cell_load(), 0..4),
    ) -> Snapshot {
        Snapshot { config, leaving, strikes, cells }
    }
}

fn arb_message() -> impl Strategy<Value = PeerMessage> {
    prop_oneof![
        (any::<u64>(), arb_config())
            .prop_map(|(version, config)| PeerMessage::Config { version, config }),
        any::<u64>().prop_map(PeerMessage::Version),
        vec(arb_server_instance(), 0..4).prop_map(PeerMessage::Leaving),
        vec(arb_strike(), 0..4).prop_map(PeerMessage::Strikes),
        vec(arb_cell_load(), 0..4).prop_map(PeerMessage::CellLoad),
        arb_placement_query().prop_map(PeerMessage::Place),
        arb_placed().prop_map(PeerMessage::Placed),
        Just(PeerMessage::SnapshotRequest),
        arb_snapshot().prop_map(|snapshot| PeerMessage::Snapshot(Box::new(snapshot))),
    ]
}

proptest! {
    #[test]
    fn a_message_round_trips(message in arb_message()) {
        let bytes = bincode::serialize(&WireMessage::from(&message)).unwrap();
        let decoded: WireMessage = bincode::deserialize(&bytes).unwrap();

        let round_tripped = PeerMessage::try_from(decoded).unwrap();

        prop_assert_eq!(round_tripped, message);
    }

    #[test]
    fn corrupted_bytes_do_not_panic(
        message in arb_message(),
        at: usize,
        byte: u8,
        len: usize,
    ) {
        let mut bytes = bincode::serialize(&WireMessage::from(&message)).unwrap();
        let at = at % bytes.len();
        bytes[at] = byte;
        bytes.truncate(len % (bytes.len() + 1));

        // The result is either a typed error or another message.
        let _ = bincode::deserialize::<WireMessage>(&bytes).map(PeerMessage::try_from);
    }
}
