//! Start of a router's background tasks.

use std::rc::Rc;

use tokio::net::{TcpListener, UdpSocket};
use tokio::task::{JoinHandle, spawn_local};

use super::state::{Gateway, Platform};
use super::{connect, front, members, peers, sync, tunnel, versions};

/// Starts the tasks of a router. Callers connect to `listener`; other routers send datagrams to
/// `socket`, and open tunnels at `tunnel_listener`. The first task is the one that follows the configuration.
pub fn start<P: Platform>(
    gw: &Rc<Gateway<P>>,
    listener: TcpListener,
    socket: UdpSocket,
    tunnel_listener: TcpListener,
) -> Vec<JoinHandle<()>> {
    let socket = Rc::new(socket);
    gw.cold.set_socket(socket.clone());
    gw.capacity.set_socket(socket.clone());
    let capacity = gw.clone();
    let (zones, zones_socket) = (gw.clone(), socket.clone());
    let (hints, hints_socket) = (gw.clone(), socket.clone());
    gw.origins.set_socket(socket.clone());
    let origins = gw.clone();
    let (crashes, crashes_socket) = (gw.clone(), socket.clone());
    vec![
        spawn_local(sync::follow_config(gw.clone())),
        spawn_local(sync::follow_targets(gw.clone())),
        spawn_local(sync::sweep_targets(gw.clone())),
        spawn_local(versions::run(gw.clone())),
        spawn_local(members::run(gw.clone())),
        spawn_local(gw.budget_shares.clone().run()),
        spawn_local(gw.budget_shares.clone().report_loans()),
        spawn_local(async move { hints.hints.run_sender(&hints_socket).await }),
        spawn_local(async move { crashes.crashes.broadcast(&crashes_socket).await }),
        spawn_local(async move { zones.zones.run_sender(&zones_socket).await }),
        spawn_local(async move { capacity.capacity.run_sender(&capacity.targets).await }),
        spawn_local(async move { origins.origins.run_sender().await }),
        spawn_local(peers::send_budget_messages(gw.clone(), socket.clone())),
        spawn_local(peers::receive_datagrams(gw.clone(), socket)),
        spawn_local(connect::watch_path(gw.clone())),
        spawn_local(tunnel::accept(gw.clone(), tunnel_listener)),
        spawn_local(front::accept(gw.clone(), listener)),
    ]
}
