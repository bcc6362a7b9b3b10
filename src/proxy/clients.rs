//! The clients' side: the listener, requests in, answers out.

use super::backends::Call;
use super::bodies::{
    Answered, Fault, HeldMemory, Paced, Permit, Read, ReadError, RequestClock, Transfers, Upload,
};
use super::clock::Clock;
use super::config::{Config, Names};
use super::connections::ConnectionTable;
use super::drain::{Drain, Phase};
use super::driver::{Answer, Handle, Inbound, Message};
use super::event_log::{self, CloseReason, Event, RefusalReason};
use super::pace::{Asking, Pace};
use super::request_head::{Table, correlation_id, forwarded, head_memory, origin_form};
use super::responses::{Rejected, close, plain, refusal};
use super::socket::{Counted, Wire, WireIo};
use super::{Seldom, Spare};
use crate::api::{ClassNumber, RequestId, Settings};
use crate::balancer::HOLD_PART;
use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::header;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode, Version};
use hyper_util::rt::TokioIo;
use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, oneshot, watch};
use tokio::time::{Instant, sleep, timeout};

/// How long a closing connection is read on after its last bytes, and in all, so that the kernel does not answer
/// late ones with a reset that destroys an answer on its way.
const LINGER: Duration = Duration::from_millis(500);
const LINGER_MOST: Duration = Duration::from_secs(3);
/// One in this many connections, as many as may be open, is kept free for whoever comes: the longest silent close.
const KEPT_FREE_PART: usize = 8;
/// The same where others wait for the descriptor.
const LINGER_HURRIED: Duration = Duration::from_millis(100);
const LINGER_MOST_HURRIED: Duration = Duration::from_secs(1);
/// How soon those that have been silent for long enough are looked for again, where too few are.
const EVICT_EVERY: Duration = Duration::from_millis(20);
/// Requests in work leave this many connections at the least to others, so that `/up` is answered, and whoever else
/// comes told to go elsewhere, also while every request hangs.
const DOOR: usize = 4;
/// How often it is looked whether a client that takes nothing of its answer has to go.
const BLOCKED_CHECK: Duration = Duration::from_millis(500);
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);
/// The largest head of a request.
const HEAD_CAP: usize = 32 * 1024;

/// What all client connections share.
pub struct Clients {
    handle: Handle,
    clock: Clock,
    table: RefCell<Rc<Table>>,
    held: Rc<Cell<bool>>,
    drain: Rc<Drain>,
    phase: watch::Receiver<Phase>,
    most: Cell<usize>,
    open: Cell<usize>,
    freed: Notify,
    connections: ConnectionTable,
    /// Requests in work, each until its answer has been taken.
    in_work: Rc<Cell<usize>>,
    accepted_at: Cell<Instant>,
    /// When the last answers are due, once the process is on its way to its end.
    ends_at: Cell<Option<Instant>>,
    transfers: Transfers,
    held_memory: HeldMemory,
    /// The log line on requests that find no memory.
    short_of_memory: Seldom,
}

/// An answer on its way; once HTTP has taken the last of it, the next request may come.
struct Sending {
    body: Answered,
    pace: Rc<Pace>,
    /// Counts the request; none where there was nothing to do for it.
    _in_work: Option<Counted>,
    /// The connection's end is the answer's end: HTTP/1.0 knows no chunks.
    is_ended_by_close: bool,
}

impl Drop for Sending {
    fn drop(&mut self) {
        self.pace.answered();
    }
}

impl Body for Sending {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        let polled = Pin::new(&mut self.body).poll_frame(cx);
        if self.is_ended_by_close && matches!(polled, Poll::Ready(Some(Err(_)))) {
            self.pace.break_off();
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl Clients {
    /// No connections yet. `held` tells whether a list of backends is held.
    #[must_use]
    pub fn new(
        handle: Handle,
        clock: Clock,
        config: &Config,
        held: Rc<Cell<bool>>,
        drain: Rc<Drain>,
        transfers: Transfers,
    ) -> Rc<Self> {
        let (settings, names, most) = (&config.settings, &config.names, config.client_sockets);
        let numbers: Vec<_> = (0..settings.classes.len() as ClassNumber).collect();
        Rc::new(Self {
            handle,
            clock,
            table: RefCell::new(Rc::new(Table::new(settings, names, &numbers))),
            held,
            phase: drain.phases(),
            drain,
            most: Cell::new(most),
            open: Cell::new(0),
            freed: Notify::new(),
            connections: ConnectionTable::default(),
            in_work: Rc::default(),
            accepted_at: Cell::new(Instant::now()),
            ends_at: Cell::new(None),
            transfers,
            held_memory: HeldMemory::within(config.memory),
            short_of_memory: Seldom::default(),
        })
    }

    /// Takes other settings for whatever comes; `numbers` are those of the classes, in the settings' order. What is
    /// being read keeps the class that it came with.
    pub fn adopt(&self, settings: &Settings, names: &Names, numbers: &[ClassNumber]) {
        let mut table = Table::new(settings, names, numbers);
        // Requests of the longest class so far may be under way.
        table.longest = table.longest.max(self.table.borrow().longest);
        self.table.replace(Rc::new(table));
    }

    /// The longest deadline of a request that may be under way.
    #[must_use]
    pub fn longest(&self) -> Duration {
        Duration::from_micros(self.table.borrow().longest)
    }

    /// Whatever comes from now on has to be answered by `end`.
    pub fn end_at(&self, end: Instant) {
        self.ends_at.set(Some(end));
        self.handle.tell(Message::End(self.clock.at(end)));
    }

    /// Waits until no more bytes of a request are waited for.
    async fn ending(&self) {
        let mut phase = self.phase.clone();
        // Whoever moves the proxy through its phases lives as long as it does.
        let _ = phase.wait_for(|phase| *phase == Phase::Ending).await;
    }

    /// Waits until a body that is still on its way is not waited for any more: no backend has begun its request. Of
    /// one that is whole by then the answer is waited for.
    async fn cut_off(&self, upload: &Upload) {
        self.ending().await;
        if upload.sent().is_some() {
            std::future::pending::<()>().await;
        }
    }

    fn refused(&self, reason: RefusalReason) -> Rejected {
        Rejected::Refused { reason, retry_after: self.table.borrow().retry_after, is_read: true }
    }

    /// The same for a request whose body was not read to its end.
    fn refused_unread(&self, reason: RefusalReason) -> Rejected {
        Rejected::Refused { reason, retry_after: self.table.borrow().retry_after, is_read: false }
    }

    /// Open client connections.
    #[must_use]
    pub fn open(&self) -> usize {
        self.open.get()
    }

    /// So many processes share the memory from now on.
    pub fn share_memory(&self, processes: usize) {
        self.transfers.memory().share(processes);
    }

    /// From now on this many connections may be open at a time; idle ones beyond that are closed.
    pub fn limit(&self, most: usize) {
        self.most.set(most);
        self.keep_some_free();
        self.freed.notify_waiters();
    }

    /// Has this many connections on their way out, those whose clients have been silent longest; never one whose
    /// request has come whole. Gives how many there are.
    pub fn evict(&self, wanted: usize) -> usize {
        self.connections.evict(wanted)
    }

    /// How many connections take up the part that is kept free for whoever comes.
    fn over(&self) -> usize {
        let most = self.most.get();
        (self.open.get() + (most / KEPT_FREE_PART).max(1)).saturating_sub(most)
    }

    /// Evicts what is over; false where too few have been silent for long enough.
    fn keep_some_free(&self) -> bool {
        let over = self.over();
        self.evict(over) >= over
    }

    /// Time since a client last connected.
    #[must_use]
    pub fn quiet(&self) -> Duration {
        self.accepted_at.get().elapsed()
    }

    /// Waits until a client connection has ended.
    pub async fn one_ended(&self) {
        self.freed.notified().await;
    }

    /// Accepts connections for as long as the proxy runs. Where the process is out of descriptors, `spare` is to
    /// close what is idle.
    pub async fn accept(self: Rc<Self>, listener: Rc<TcpListener>, spare: Spare) {
        let refused = Seldom::default();
        loop {
            // Beyond the cap clients wait in the kernel's queue instead of taking the backends' descriptors.
            // Connections that clients keep without using them would hold those up for long: some are closed.
            // Whoever is on the way out has gone by the end of the longest wait.
            let look_again = if self.keep_some_free() { LINGER_MOST } else { EVICT_EVERY };
            if self.open.get() >= self.most.get() {
                let _ = timeout(look_again, self.freed.notified()).await;
                continue;
            }
            let Ok(accepted) = timeout(look_again, listener.accept()).await else { continue };
            match accepted {
                Ok((stream, peer)) => {
                    self.accepted_at.set(Instant::now());
                    if self.open.get() == 0 {
                        self.transfers.memory().settle();
                    }
                    self.open.set(self.open.get() + 1);
                    tokio::task::spawn_local(Rc::clone(&self).connection(stream, peer));
                }
                // Out of descriptors, or a client that is gone already: neither ends the proxy.
                Err(error) => {
                    refused.log(format_args!("accept: {error}"));
                    spare();
                    sleep(ACCEPT_BACKOFF).await;
                }
            }
        }
    }

    async fn connection(self: Rc<Self>, stream: TcpStream, peer: SocketAddr) {
        let _ = stream.set_nodelay(true);
        // The runtime reads a new socket before it has asked what is there: without this turn, the request of a client
        // that has gone while it waited to be accepted would be sent on.
        tokio::task::yield_now().await;
        let clients = Rc::clone(&self);
        let wire = Wire::new(stream, None);
        let pace = Pace::new(Rc::clone(&wire));
        let at = Rc::clone(&pace);
        let (number, open) = self.connections.insert(Rc::clone(&pace));
        let service = service_fn(move |request: Request<Incoming>| -> Pin<Box<dyn Future<Output = _>>> {
            let (clients, pace) = (Rc::clone(&clients), Rc::clone(&at));
            let is_old = request.version() < Version::HTTP_11;
            Box::pin(async move {
                let (response, in_work) = clients.respond(request, &pace).await;
                if matches!(response.body(), Answered::Through(_)) {
                    pace.bound();
                }
                let is_ended_by_close = is_old && response.body().size_hint().exact().is_none();
                Ok::<_, Infallible>(response.map(|body| Sending {
                    body,
                    pace,
                    _in_work: in_work,
                    is_ended_by_close,
                }))
            })
        });
        let mut conn = http1::Builder::new()
            .max_buf_size(HEAD_CAP)
            .serve_connection(TokioIo::new(WireIo(Rc::clone(&wire))), service);
        let mut left = pin!(wire.ended());
        let mut late = pin!(sleep(Duration::ZERO));
        let memory = Rc::clone(self.transfers.memory());
        let mut phase = self.phase.clone();
        // A connection that comes while the others are being closed still gets its answer; that closes it.
        phase.mark_unchanged();
        let mut told = false;
        let closed = loop {
            tokio::select! {
                biased;
                // A client that left has been reported by its guard.
                closed = std::future::poll_fn(|cx| {
                    if let Poll::Ready(ended) = conn.poll_without_shutdown(cx) {
                        return Poll::Ready(ended.is_err().then_some(CloseReason::Broken));
                    }
                    if pace.reads_ahead() && memory.has_plenty() {
                        wire.poll_read_ahead(cx);
                    }
                    // A client that has gone waits for nothing. HTTP itself sees that only where nothing is unread.
                    if pace.is_asking() && left.as_mut().poll(cx).is_ready() {
                        return Poll::Ready(Some(CloseReason::ClientLeft));
                    }
                    // What it is at may have changed; a late one is not waited for.
                    let now_in = *self.phase.borrow();
                    let is_short = memory.is_short();
                    let Some(deadline) = pace.deadline(now_in, is_short) else { return Poll::Pending };
                    if is_short && pace.has_large_head() {
                        return Poll::Ready(Some(CloseReason::Memory));
                    }
                    // A client that takes nothing may have to go sooner if memory becomes short meanwhile.
                    let soon = Instant::now() + BLOCKED_CHECK;
                    let check = if pace.is_blocked() { deadline.min(soon) } else { deadline };
                    if late.deadline() != check {
                        late.as_mut().reset(check);
                    }
                    let is_late = late.as_mut().poll(cx).is_ready() && check == deadline;
                    // Close to the end, bytes that are there already may be a whole request: they are read first.
                    let is_read_first = now_in == Phase::Ending && pace.has_unread();
                    if is_late && !is_read_first {
                        Poll::Ready(Some(pace.late_reason(now_in)))
                    } else {
                        Poll::Pending
                    }
                }) => break closed,
                Ok(()) = phase.changed(), if !told => {
                    // One on which a request is coming is answered first; the answer closes it.
                    if *phase.borrow_and_update() == Phase::Closing && pace.may_close() {
                        told = true;
                        Pin::new(&mut conn).graceful_shutdown();
                    }
                }
                () = open.asked_to_close() => {
                    if open.makes_room() {
                        if !pace.reads_body() {
                            break Some(CloseReason::MakesRoom);
                        }
                        // Its request is answered as one whose body is late.
                        pace.cut_body();
                    }
                }
            }
        };
        if let Some(reason) = closed {
            event_log::record(&Event::Closed { peer, reason });
        }
        // Nothing is on its way to a client that stopped in a head.
        let has_stopped = closed == Some(CloseReason::MakesRoom) && pace.is_in_head();
        if !pace.resets() && !has_stopped {
            let (silence, most) =
                if self.over() > 0 { (LINGER_HURRIED, LINGER_MOST_HURRIED) } else { (LINGER, LINGER_MOST) };
            linger(conn.into_parts().io.into_inner(), silence, most).await;
        }
        self.connections.remove(number);
        self.open.set(self.open.get() - 1);
        self.freed.notify_waiters();
    }

    async fn respond(
        &self,
        request: Request<Incoming>,
        pace: &Pace,
    ) -> (Response<Answered>, Option<Counted>) {
        let body_within = pace.request();
        let is_up = request.uri().path() == "/up";
        let most = self.most.get();
        let memory = self.transfers.memory();
        let is_short = !is_up && memory.is_short();
        let _reserved = memory.reserve(head_memory(request.headers()));
        let has_room = !is_up && self.in_work.get() < most - DOOR.max(most / KEPT_FREE_PART).min(most / 4);
        let in_work = has_room.then(|| Counted::new(&self.in_work));
        let mut response = if is_up {
            self.up()
        } else if is_short {
            let id = correlation_id(request.headers());
            self.refused_unread(RefusalReason::Memory).response(id)
        } else if !has_room {
            self.refused(RefusalReason::RequestsInWork).response(correlation_id(request.headers()))
        } else {
            match self.inbound(request, body_within, pace).await {
                Ok(inbound) => self.ask(inbound, pace).await,
                Err(response) => response,
            }
        };
        // Close to the cap, connections are given back after each answer.
        if *self.phase.borrow() != Phase::Running || self.open.get() * 8 >= self.most.get() * 7 {
            close(&mut response);
        }
        (response, in_work)
    }

    fn up(&self) -> Response<Answered> {
        if self.held.get() && self.drain.is_up() {
            plain(StatusCode::OK, "up\n")
        } else {
            plain(StatusCode::SERVICE_UNAVAILABLE, "not serving\n")
        }
    }

    async fn ask(&self, inbound: Inbound, pace: &Pace) -> Response<Answered> {
        let asking = pace.ask(inbound.call.upload.clone());
        // One that has gone by now asks for nothing: its connection ends here.
        if pace.has_gone() {
            std::future::pending::<()>().await;
        }
        let upload = inbound.call.upload.clone();
        let id = correlation_id(&inbound.call.headers).map(str::to_owned);
        let id = id.as_deref();
        let (sender, answer) = oneshot::channel();
        let guard =
            Guard { handle: &self.handle, request: inbound.request.id, answered: false, _asking: asking };
        self.handle.tell(Message::Request(Box::new(inbound), sender));
        let answer = match &upload {
            None => answer.await,
            Some(upload) => tokio::select! {
                biased;
                answer = answer => answer,
                () = self.cut_off(upload) => return self.refused(RefusalReason::Ending).response(id),
            },
        };
        let answer = self.admitted(answer.unwrap_or(Answer::Failed)).await;
        guard.answered();
        if let Some(fault) = upload.and_then(|upload| upload.fault()) {
            return Rejected::from(fault).response(id);
        }
        match answer {
            Answer::Served(served) => {
                let mut response = Response::new(served.body);
                if let Some(content_type) = served.content_type {
                    response.headers_mut().insert(header::CONTENT_TYPE, content_type);
                }
                response
            }
            Answer::Refused { retry_after } => refusal(retry_after),
            Answer::Failed => plain(StatusCode::BAD_GATEWAY, "failed\n"),
        }
    }

    /// Waits until a request's large body may be passed on, for the same part of the request's time as where no backend
    /// has room. The body may have come whole to this machine meanwhile, so that the wait counts as time of the request.
    ///
    /// # Errors
    /// Where it may not, the request is refused; nothing of it was sent on.
    async fn may_pass_on(&self, request: &mut crate::api::Request) -> Result<Permit, Rejected> {
        if self.transfers.memory().is_short() {
            return Err(self.refused_unread(RefusalReason::Memory));
        }
        let began = self.clock.now();
        let until = self.clock.instant(began + request.patience / HOLD_PART);
        let permit = tokio::select! {
            biased;
            permit = self.transfers.up(until) => permit,
            () = self.ending() => None,
        };
        request.patience = request.patience.saturating_sub(self.clock.now() - began);
        permit.ok_or_else(|| self.refused_unread(RefusalReason::LargeBodies))
    }

    /// An answer as it may be passed on: a large one that has to wait for others until its request's time ends, or the
    /// process does, has failed.
    async fn admitted(&self, answer: Answer) -> Answer {
        let Answer::Served(mut served) = answer else { return answer };
        if let Answered::Through(download) = &mut served.body {
            let is_admitted = tokio::select! {
                biased;
                is_admitted = download.admit() => is_admitted,
                () = self.ending() => false,
            };
            if !is_admitted {
                return Answer::Failed;
            }
        }
        Answer::Served(served)
    }

    async fn inbound(
        &self,
        request: Request<Incoming>,
        body_within: Duration,
        pace: &Pace,
    ) -> Result<Inbound, Response<Answered>> {
        let (head, body) = request.into_parts();
        let table = Rc::clone(&self.table.borrow());
        let checked = table.request(self.handle.number(), &head);
        let taken = match checked {
            Ok((request, effect)) => {
                let body = Paced::new(body, body_within, RequestClock::new(pace.wire()));
                self.take_body(request, body, pace).await.map(|taken| (taken, effect))
            }
            Err(rejected) => Err(rejected),
        };
        let ((request, body, upload), effect) =
            taken.map_err(|rejected| rejected.response(correlation_id(&head.headers)))?;
        let (method, target, headers) = (head.method, origin_form(head.uri), forwarded(head.headers));
        let call = Call { method, target, headers, body, upload };
        // The time of a request counts from its last byte.
        Ok(Inbound { request, effect, arrived: self.clock.now(), call })
    }

    /// The request with its body: held whole, or the beginning of one that passes through.
    async fn take_body(
        &self,
        mut request: crate::api::Request,
        body: Paced,
        pace: &Pace,
    ) -> Result<(crate::api::Request, Bytes, Option<Rc<Upload>>), Rejected> {
        let reading = pace.read_body();
        let read = tokio::select! {
            biased;
            read = body.read(self.held_memory.clone(), self.transfers.memory()) => read,
            () = pace.body_cut() => Err(ReadError::Fault(Fault::Late)),
            () = self.ending() => return Err(self.refused(RefusalReason::Ending)),
        };
        drop(reading);
        let read = read.map_err(|error| match error {
            ReadError::Fault(fault) => Rejected::from(fault),
            ReadError::OutOfMemory(reason) => {
                self.short_of_memory.log(format_args!("requests are refused: {reason}"));
                self.refused_unread(RefusalReason::BodyMemory)
            }
        })?;
        if self.ends_at.get().is_some_and(|end| Instant::now() >= end) {
            return Err(self.refused(RefusalReason::Ending));
        }
        let (body, upload) = match read {
            Read::Whole(body) => (body, None),
            Read::Large(begun, rest) => {
                let permit = self.may_pass_on(&mut request).await?;
                (Bytes::new(), Some(Upload::new(request.id, self.handle.clone(), begun, rest, permit)))
            }
        };
        request.upload = upload.is_some();
        Ok((request, body, upload))
    }
}

/// Tells the driver when a client leaves while its request is open: its connection then drops the answer's
/// future.
struct Guard<'a> {
    handle: &'a Handle,
    request: RequestId,
    answered: bool,
    _asking: Asking<'a>,
}

impl Guard<'_> {
    fn answered(mut self) {
        self.answered = true;
    }
}

impl Drop for Guard<'_> {
    fn drop(&mut self) {
        if !self.answered {
            self.handle.tell(Message::ClientGone(self.request));
        }
    }
}

/// Ends the sending side and reads what still comes, for a while.
async fn linger(mut stream: WireIo, silence: Duration, most: Duration) {
    if stream.shutdown().await.is_err() {
        return;
    }
    let _ = timeout(most, async {
        let mut buffer = [0; 2_048];
        while let Ok(Ok(1..)) = timeout(silence, stream.read(&mut buffer)).await {}
    })
    .await;
}
