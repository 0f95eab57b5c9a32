//! Writes that the store performs late, and rows that are lost, tested with edge nodes as processes.

use std::time::Duration;

use standin::endpoint_instance::Instance;
use standin::node::{Node, NodeAddresses};
use standin::orders::{check_orders, load_adapters, wait_for_reports};
use standin::test_setup::TestSetup;

/// Shortest time between orders of two holders, as the settings of the nodes have it.
const HANDOVER: Duration = Duration::from_millis(300);
/// Time by which the store performs writes late.
const LATE_BY: Duration = Duration::from_millis(2_500);
/// Table of the nodes' leases.
const NODES: &str = "nodes";

/// Nodes with their names and addresses, which they keep over restarts.
struct Fleet {
    names: Vec<String>,
    nodes: Vec<Node>,
}

impl Fleet {
    async fn start(name: &str, count: usize, world: &TestSetup) -> Self {
        let names: Vec<String> = (1..=count).map(|n| format!("{name}-{n}")).collect();
        let mut nodes = Vec::new();
        for name in &names {
            nodes.push(Node::start(name, world.store_address()).await);
        }
        wait_for_reports(&world.assist).await;
        Self { names, nodes }
    }

    /// The node that gave the last order to an engine.
    fn holder(&self, engine: &Instance) -> usize {
        let orders = engine.timed_orders();
        let holder = orders.last().and_then(|(_, o)| o["Holder"].as_str()).expect("an order");
        self.names.iter().position(|name| name == holder).expect("a node of the fleet")
    }

    /// Stops a node and moves it to the front; returns its addresses.
    async fn stop(&mut self, n: usize) -> NodeAddresses {
        self.names.swap(0, n);
        self.nodes.swap(0, n);
        self.nodes[0].terminate();
        self.nodes[0].wait_exit().await;
        self.nodes[0].addresses
    }

    /// Starts the stopped node again.
    async fn start_again(&mut self, addresses: NodeAddresses, world: &TestSetup) {
        self.nodes[0] = Node::start_at(&self.names[0], addresses, world.store_address(), None);
        self.nodes[0].until_ready().await;
    }
}

/// Adds an engine, which makes all nodes read the rows of nodes and holders.
async fn add_engine(world: &TestSetup, id: &str) -> Instance {
    let engine = Instance::start(id, "assist", Some("base")).await.unwrap();
    world.rows.put("servers", id, &engine.entry("ready"));
    engine
}

// The release of a node that had stopped took the lease of its next process away, and two nodes
// gave orders to one engine by turns.
#[tokio::test]
async fn late_release_leaves_the_lease_of_the_restarted_node() {
    let world = TestSetup::start().await;
    let mut fleet = Fleet::start("late-release", 3, &world).await;
    let mut engines = Vec::new();
    for round in 0..3 {
        load_adapters(&fleet.nodes, 0..9).await;
        world.rows.set_late_writes(Some((NODES, LATE_BY)));
        let stopped = fleet.stop(fleet.holder(&world.assist)).await;
        world.rows.set_late_writes(None);
        fleet.start_again(stopped, &world).await;
        let mut listed = false;
        for n in 0..40 {
            if n == 24 {
                engines.push(add_engine(&world, &format!("i-1{round}")).await);
            }
            let present = world.rows.keys(NODES).contains(&fleet.names[0]);
            assert!(present || !listed, "round {round}: the row of the restarted node is gone");
            listed = present;
            load_adapters(&fleet.nodes, n..n + 1).await;
        }
    }
    check_orders(&world.assist, HANDOVER);
    engines.iter().for_each(|engine| check_orders(engine, HANDOVER));
}

// A row that somebody had removed was taken for a released lease while its node gave orders.
#[tokio::test]
async fn removed_rows_of_nodes_give_engines_no_second_holder() {
    let world = TestSetup::start().await;
    let fleet = Fleet::start("late-removed", 3, &world).await;
    let mut engines = Vec::new();
    for round in 0..6 {
        load_adapters(&fleet.nodes, 0..9).await;
        let holder = fleet.holder(&world.assist);
        for n in 0..30 {
            if n < 15 {
                world.rows.remove(NODES, &fleet.names[holder]);
            }
            if n == 0 {
                engines.push(add_engine(&world, &format!("i-2{round}")).await);
            }
            load_adapters(&fleet.nodes, n..n + 1).await;
        }
    }
    check_orders(&world.assist, HANDOVER);
    engines.iter().for_each(|engine| check_orders(engine, HANDOVER));
}

// A node whose renewals were performed late took its lease for lost, or another node did.
#[tokio::test]
async fn late_renewals_leave_the_engine_with_its_holder() {
    let world = TestSetup::start().await;
    let fleet = Fleet::start("late-renewal", 3, &world).await;
    load_adapters(&fleet.nodes, 0..9).await;
    let before = fleet.holder(&world.assist);
    for n in 0..100 {
        let late = n % 50 < 35;
        world.rows.set_late_writes(late.then_some((NODES, LATE_BY)));
        load_adapters(&fleet.nodes, n..n + 1).await;
    }
    assert_eq!(fleet.holder(&world.assist), before);
    check_orders(&world.assist, HANDOVER);
}
