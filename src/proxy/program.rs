//! One real proxy: start-up, signals, exit code. Both `gatestage proxy` and `haventrack-proxy` run it.

use crate::api::Class;
use crate::balancer::Balancer;
use crate::proxy::admin::Operations;
use crate::proxy::backends::Fleet;
use crate::proxy::bodies::Transfers;
use crate::proxy::clients::Clients;
use crate::proxy::clock::Clock;
use crate::proxy::config::{Config, ConfigError};
use crate::proxy::discovery::{Numbers, Source, Translator, Watcher};
use crate::proxy::drain::Drain;
use crate::proxy::driver::{Driver, Handle, Limits, Message};
use crate::proxy::handover::{self, Bans, Held, Owner, Predecessor, Siblings, StateKeeper, StateSource};
use crate::proxy::reload::Reload;
use crate::proxy::{Spare, log};
use std::cell::{Cell, RefCell};
use std::env;
use std::error::Error;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::rc::Rc;
use tokio::net::{TcpListener, TcpSocket};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::LocalSet;

/// Classes that a line of the log has by their names.
const LOGGED_CLASSES: usize = 20;
/// The kernel's queue of connections that are not accepted yet.
const BACKLOG: u32 = 1_024;

/// Listens at an address. `shared`: another process of this proxy may do so as well, or do so already.
fn listen(address: SocketAddr, shared: bool) -> std::io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    // A restarted proxy takes its old address although connections of the old process linger.
    socket.set_reuseaddr(true)?;
    if shared {
        socket.set_reuseport(true)?;
    }
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// The clients' listener: that of the process which this one replaces, or one of its own.
fn open_door(config: &Config) -> Result<(TcpListener, Option<Predecessor>), Box<dyn Error>> {
    let taken = config.admin.and_then(|_| {
        let mark = handover::mark(&config.name, config.listen);
        handover::take_over(&env::temp_dir(), &mark, config.listen)
    });
    if let Some((listener, predecessor)) = taken {
        return Ok((listener, Some(predecessor)));
    }
    let listener = listen(config.listen, config.admin.is_some());
    Ok((listener.map_err(|e| format!("cannot listen on {}: {e}", config.listen))?, None))
}

/// The classes as a line of the log has them: the first ones by name, and how many more there are.
fn named_classes(classes: &[Class]) -> String {
    let names: Vec<_> = classes.iter().take(LOGGED_CLASSES).map(|class| class.name.as_str()).collect();
    let names = names.join(", ");
    match classes.len().saturating_sub(LOGGED_CLASSES) {
        0 => format!("classes {names}"),
        more => format!("classes {names} and {more} more"),
    }
}

/// The signals that the proxy takes while it runs.
struct Signals {
    stop: Signal,
    reload: Signal,
}

/// What a new configuration changes.
struct Settled {
    clients: Rc<Clients>,
    fleet: Rc<Fleet>,
    handle: Handle,
    /// Where lists come from, and what is asked for.
    discovery: watch::Sender<Source>,
    /// Whose the state is that this process leaves to another.
    owner: Rc<RefCell<Owner>>,
    config: Config,
}

impl Settled {
    /// Takes a configuration that was read again. Either all of it is taken or none: what is not whole or makes no
    /// sense changes nothing, and the proxy goes on with what it has.
    async fn take(&mut self, read: Result<Config, ConfigError>) -> Result<(), Box<dyn Error>> {
        let config = self.config.succeeded_by(read?)?;
        let (numbers, told) = oneshot::channel();
        self.handle.tell(Message::Settings(Box::new(config.settings.clone()), numbers));
        let numbers = told.await?;
        self.clients.adopt(&config.settings, &config.names, &numbers);
        self.owner.replace(Owner::of(&config));
        let report = config.names.report.clone();
        self.fleet.retune(config.dial_timeout, config.settings.permissions.conn_idle, report);
        self.discovery.send_replace(Source::of(&config));
        log(format_args!("SIGHUP: new configuration in force, {}", named_classes(&config.settings.classes)));
        self.config = config;
        Ok(())
    }
}

async fn run(mut config: Config, mut signals: Signals) -> Result<(), Box<dyn Error>> {
    let clock = Clock::start();
    // Another process of this proxy reads the bans in the folder that both share; without a place for calls there
    // is none.
    let private =
        config.group.as_ref().filter(|_| config.admin.is_none()).map(|group| group.state_dir.clone());
    let mark = handover::mark(&config.name, config.listen);
    let bans = match private {
        Some(folder) => Bans::within(&folder),
        None => Bans::of(&env::temp_dir(), mark),
    };
    let group = config.group.take().map(crate::group::start).transpose()?;
    let (listener, mut predecessor) = open_door(&config)?;
    let listener = Rc::new(listener);
    log(format_args!("{} listens on {}", config.name, listener.local_addr()?));
    let settings = config.settings.clone();
    let asked = settings.discovery_on_request;
    let limits = Limits {
        max_attempts: settings.permissions.max_attempts,
        report_by_probe: settings.report_by_probe,
        memory: config.memory,
    };
    let transfers = Transfers::within(config.memory);
    let fleet = Fleet::new(
        config.backend_sockets,
        config.dial_timeout,
        settings.permissions.conn_idle,
        config.names.report.clone(),
        transfers.clone(),
    );
    let mut balancer = Balancer::new(settings.clone(), config.seed, clock.now())?;
    let (subscribe, subscriptions) = mpsc::unbounded_channel();
    let numbers = Rc::new(RefCell::new(Numbers::default()));
    let store = config.state_dir.as_deref().map(handover::state_store).transpose()?;
    // What a predecessor hands over is newer than any snapshot, which is read only where none did.
    let owner = Owner::of(&config);
    let handed = predecessor.as_mut().and_then(|other| other.state(&owner)).map(|state| (state, 0));
    let restored = store.as_ref().filter(|_| predecessor.is_none());
    let restored = restored.and_then(|store| handover::restore(store, &owner, group.is_some()));
    // A machine that lost its disk goes on from the copy that its peers hold.
    let restored = match &group {
        Some(group) if restored.is_none() && predecessor.is_none() => {
            handover::restore_copy(group, &owner).await
        }
        _ => restored,
    };
    if let Some((state, age)) = handed.or(restored) {
        balancer.recall_aged(&state.learnt, age);
        state.names.iter().for_each(|name| _ = numbers.borrow_mut().number(name));
    }
    let (driver, handle) = Driver::new(balancer, clock, Rc::clone(&fleet), limits, subscribe);
    let owner = Rc::new(RefCell::new(owner));
    let state_source =
        StateSource { handle: handle.clone(), numbers: Rc::clone(&numbers), owner: Rc::clone(&owner) };
    let keeper = (store.is_some() || group.is_some())
        .then(|| StateKeeper::new(store, group.clone(), state_source.clone()));
    let held = Rc::new(Cell::new(false));
    let translator = Translator::new(clock, &config.names, Rc::clone(&numbers));
    let subscriptions = asked.then_some(subscriptions);
    let (told, shared) = (handle.clone(), Rc::clone(&held));
    let source = Source::of(&config);
    let mut watcher = Watcher::new(source.clone(), translator, told, shared, subscriptions, config.seed);
    let drain = Drain::new();
    // What the operators have taken out of use is told before any list.
    let operations = (config.admin.is_some() || group.is_some()).then(|| {
        bans.say_unmarked();
        let (drain, held, handle) = (Rc::clone(&drain), Rc::clone(&held), handle.clone());
        Operations::new(drain, held, handle, Rc::clone(&numbers), bans, group)
    });
    // A predecessor has told what is banned; a proxy that starts alone waits for its group before any list.
    let waits = operations.as_ref().filter(|o| o.in_group() && predecessor.is_none()).map(Rc::clone);
    let known = config.known.take();
    let waits = match waits {
        Some(operations) => Some((operations, known)),
        None => {
            watcher.start_from(known);
            None
        }
    };
    let clients = Clients::new(handle.clone(), clock, &config, held, Rc::clone(&drain), transfers);
    let most = Held { clients: config.client_sockets, backends: config.backend_sockets };
    let (door, both) = (Rc::clone(&listener), (Rc::clone(&clients), Rc::clone(&fleet)));
    let mark = handover::mark(&config.name, listener.local_addr()?);
    let socket = handover::socket(&env::temp_dir(), &mark);
    let siblings = Siblings::new(socket, door, state_source, both.0, both.1, most);

    let mut driver = tokio::task::spawn_local(driver.run());
    let (discovery, moves) = watch::channel(source);
    match waits {
        None => tokio::task::spawn_local(watcher.run(moves)),
        Some((operations, known)) => tokio::task::spawn_local(async move {
            operations.wait_for_group().await;
            watcher.start_from(known);
            watcher.run(moves).await;
        }),
    };
    tokio::task::spawn_local(Rc::clone(&fleet).sweep());
    keeper.iter().for_each(|keeper| _ = tokio::task::spawn_local(Rc::clone(keeper).keep()));
    let (pool, accepting) = (Rc::clone(&fleet), Rc::clone(&clients));
    let spare: Spare = Rc::new(move || pool.close_oldest() || accepting.evict(1) > 0);
    let accept = tokio::task::spawn_local(Rc::clone(&clients).accept(listener, Rc::clone(&spare)));
    if let Some(operations) = &operations {
        tokio::task::spawn_local(Rc::clone(operations).watch_bans());
        tokio::task::spawn_local(Rc::clone(operations).follow_group());
    }
    if let (Some(address), Some(operations)) = (config.admin, operations) {
        let listener = listen(address, false).map_err(|e| format!("cannot listen on {address}: {e}"))?;
        log(format_args!("operators call at {}", listener.local_addr()?));
        tokio::task::spawn_local(operations.serve(listener, spare));
        predecessor.into_iter().for_each(|other| siblings.follow(other));
        tokio::task::spawn_local(Rc::clone(&siblings).serve());
    }
    let mut settled = Settled { clients: Rc::clone(&clients), fleet, handle, discovery, owner, config };
    let mut reload = Reload::default();
    loop {
        tokio::select! {
            ended = &mut driver => return Err(format!("the driver ended: {ended:?}").into()),
            // A signal that comes while a file is being read has it read once more: it may have been replaced since.
            Some(()) = signals.reload.recv(), if !reload.is_running() => if let Err(error) = reload.begin() {
                log(format_args!("SIGHUP changes nothing: {error}"));
            },
            read = reload.finished() => if let Err(error) = settled.take(read).await {
                log(format_args!("SIGHUP changes nothing: {error}"));
            },
            _ = signals.stop.recv() => {
                let replaced = siblings.has_successor();
                if replaced {
                    accept.abort();
                }
                let kept = async {
                    if let Some(keeper) = &keeper {
                        keeper.keep_now().await;
                    }
                };
                tokio::join!(drain.stop(&clients, replaced), kept);
                return Ok(());
            }
        }
    }
}

fn start() -> Result<(), Box<dyn Error>> {
    let config = Config::from_env()?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, async {
        let signals =
            Signals { stop: signal(SignalKind::terminate())?, reload: signal(SignalKind::hangup())? };
        run(config, signals).await
    })
}

/// Runs the proxy until SIGTERM. The configuration is the JSON file that `EDGE_CONFIG` names; an error that stops
/// the start is logged and gives a failure.
pub fn main() -> ExitCode {
    match start() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log(format_args!("haventrack-proxy: {error}"));
            ExitCode::FAILURE
        }
    }
}
