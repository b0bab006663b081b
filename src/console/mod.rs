//! The operators' second address: one call a line, one line a connection.
//!
//! Callers have seats of their own, for which descriptors are set aside, and their calls reach the core by a mailbox of
//! their own, so that neither clients nor a core with much to do hold an answer up. When all seats are taken the caller
//! goes who has been longest without a whole line: callers that keep a connection and say nothing must not keep out
//! one that has something to say. It knows no decisions.

pub mod line;

use crate::agreement_io::{self, OperatorCommand};
use crate::core::counters::{count, Count};
use crate::core::{CoreCommand, Readiness};
use crate::handover::ControlHandle;
use crate::net::listen::{PhaseReceiver, ProcessPhase};
use crate::net::socket::Socket;
use crate::phases;
use futures_util::{SinkExt, StreamExt};
use line::{Call, FleetCall, Line, LineCodec, Reply};
use std::collections::VecDeque;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot};
use tokio::task::AbortHandle;
use tokio_util::codec::Framed;

/// Callers at a time.
pub const CONNECTIONS_MAX: usize = 12;
/// How long a caller may take over its line, and to take in its answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(15);
const REPLY_TIMEOUT: Duration = Duration::from_secs(2);
/// By then a caller is told that its call was not done: an answer is owed within a second.
const EXECUTION_TIMEOUT: Duration = Duration::from_millis(800);
/// A timer fires only behind a look at what the kernel has to tell: whatever signal came before a call is heard by then.
const SIGNAL_DELIVERY_WAIT: Duration = Duration::from_millis(1);
/// After a failure to accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// What every caller needs.
#[derive(Clone)]
pub struct Console {
    control: ControlHandle,
    phase: PhaseReceiver,
    /// The configuration was not to be read, and a stored one holds.
    stored: Arc<AtomicBool>,
    /// Where the proxies of a fleet agree.
    fleet: Option<mpsc::Sender<agreement_io::OperatorCall>>,
}

struct Caller {
    task: AbortHandle,
    /// Its line has come.
    whole: Arc<AtomicBool>,
}

impl Console {
    /// One that hands its calls to the control.
    pub fn new(
        control: ControlHandle,
        phase: PhaseReceiver,
        stored: Arc<AtomicBool>,
        fleet: Option<mpsc::Sender<agreement_io::OperatorCall>>,
    ) -> Self {
        Console { control, phase, stored, fleet }
    }

    /// Takes callers until the process ends.
    pub async fn run(self, listener: TcpListener) {
        let mut callers: VecDeque<Caller> = VecDeque::new();
        loop {
            let stream = match listener.accept().await {
                Ok((stream, _)) => stream,
                Err(e) => {
                    log::warn!("a caller of the console could not be accepted: {e}");
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                    continue;
                }
            };
            callers.retain(|c| !c.task.is_finished());
            while callers.len() >= CONNECTIONS_MAX {
                let silent = callers.iter().position(|c| !c.whole.load(Ordering::Relaxed));
                match silent.and_then(|at| callers.remove(at)) {
                    Some(caller) => {
                        count(Count::console_made_room);
                        caller.task.abort();
                    }
                    // All are being answered, which takes no longer than an answer may.
                    None => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
                }
                callers.retain(|c| !c.task.is_finished());
            }
            count(Count::console_connections);
            let whole = Arc::new(AtomicBool::new(false));
            let (console, told) = (self.clone(), whole.clone());
            let task = tokio::spawn(async move { console.serve(stream, &told).await });
            callers.push_back(Caller { task: task.abort_handle(), whole });
            // It reads what it has sent already before the next caller can push it out.
            tokio::task::yield_now().await;
        }
    }

    async fn serve(&self, stream: TcpStream, whole: &AtomicBool) {
        let mut conn = Framed::with_capacity(Socket::new(stream), LineCodec::default(), line::LINE_BYTES_MAX);
        let Ok(Some(Ok(said))) = tokio::time::timeout(CALL_TIMEOUT, conn.next()).await else { return };
        whole.store(true, Ordering::Relaxed);
        count(Count::console_calls);
        let reply = match said {
            Line::Call(call) => {
                let reply = match tokio::time::timeout(EXECUTION_TIMEOUT, self.answer(&call)).await {
                    Ok(reply) => reply,
                    Err(_) => Reply::Failure("not done in time; ask again".to_string()),
                };
                if !matches!(
                    call,
                    Call::Status | Call::Phase | Call::Fleet(FleetCall::Status | FleetCall::History)
                ) {
                    log::info!("the operators ask {call:?}: {reply}");
                }
                reply
            }
            Line::Invalid(why) => Reply::Failure(why),
        };
        if matches!(reply, Reply::Failure(_)) {
            count(Count::console_refused);
        }
        let last_word = async {
            conn.send(reply).await?;
            crate::net::client_close::shutdown_and_drain(conn.into_inner()).await
        };
        let _ = tokio::time::timeout(REPLY_TIMEOUT, last_word).await;
    }

    async fn answer(&self, call: &Call) -> Reply {
        let (told, done) = match call {
            Call::Status => return self.status().await,
            Call::Phase => {
                return match self.control.request(CoreCommand::QueryStartup).await {
                    Some(told) if told.phase == phases::Phase::Full => {
                        Reply::Success(told.to_string().into())
                    }
                    Some(told) => Reply::Failure(told.to_string()),
                    None => Reply::Failure("ending".to_string()),
                }
            }
            Call::Confirm => {
                return match self.control.request(CoreCommand::ConfirmSuspensions).await {
                    Some(true) => Reply::Success("confirmed".into()),
                    Some(false) => Reply::Failure("nothing waits to be confirmed".to_string()),
                    None => Reply::Failure("ending".to_string()),
                }
            }
            Call::Fleet(call) => {
                return self.fleet(call).await.map_or_else(Reply::Failure, |yes| Reply::Success(yes.into()))
            }
            Call::Suspend(id) => (
                self.control.change(id, |reply| CoreCommand::Suspend(id.as_str().into(), reply)).await,
                "out",
            ),
            Call::Restore(id) => (
                self.control.change(id, |reply| CoreCommand::Restore(id.as_str().into(), reply)).await,
                "back",
            ),
        };
        told.map_or_else(Reply::Failure, |()| Reply::Success(done.into()))
    }

    async fn fleet(&self, call: &FleetCall) -> Result<String, String> {
        let ask = match call {
            FleetCall::Status => OperatorCommand::Status,
            FleetCall::History => OperatorCommand::History,
            FleetCall::Propose(path, author) => {
                OperatorCommand::Propose(author.clone(), agreement_io::read_settings_json(path).await?)
            }
            FleetCall::Hand(member, out) => OperatorCommand::SetSuspended(member.clone(), *out),
            FleetCall::Abort => OperatorCommand::Abort,
            FleetCall::Epoch(number) => OperatorCommand::BeginEpoch(*number),
        };
        let fleet = self.fleet.as_ref().ok_or("the operators' file has no agreement that is enabled")?;
        let ending = || "the process ends".to_string();
        let (reply, answer) = oneshot::channel();
        fleet.send((ask, reply)).await.map_err(|_| ending())?;
        answer.await.map_err(|_| ending())?
    }

    /// Yes only where a client would really be served.
    async fn status(&self) -> Reply {
        tokio::time::sleep(SIGNAL_DELIVERY_WAIT).await;
        let phase = *self.phase.borrow();
        match phase {
            ProcessPhase::Starting => {
                return Reply::Failure("starting: clients are not taken yet".to_string())
            }
            ProcessPhase::HandingOver | ProcessPhase::Closing | ProcessPhase::Ended => {
                return Reply::Failure("ending".to_string())
            }
            ProcessPhase::Serving => {}
        }
        match self.control.request(CoreCommand::QueryReadiness).await {
            Some(Readiness::Ready) if self.stored.load(Ordering::Relaxed) => {
                Reply::Success("serving, by the last configuration that held".into())
            }
            Some(Readiness::Ready) => Reply::Success("serving".into()),
            Some(Readiness::NoUsableMember) => {
                Reply::Failure("no member is listed that requests could go to".to_string())
            }
            Some(Readiness::SuspensionsUnconfirmed) => {
                let why = "what was said by hand may be lost; say it again, then CONFIRM";
                Reply::Failure(why.to_string())
            }
            None => Reply::Failure("ending".to_string()),
        }
    }
}
