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
use line::{Call, Fleet, Line, Lines, Reply};
use std::collections::VecDeque;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot};
use tokio::task::AbortHandle;
use tokio_util::codec::Framed;

/// Callers at a time.
pub const SEATS: usize = 12;
/// How long a caller may take over its line, and to take in its answer.
const PATIENCE: Duration = Duration::from_secs(15);
const LAST_WORD: Duration = Duration::from_secs(2);
/// By then a caller is told that its call was not done: an answer is owed within a second.
const DONE: Duration = Duration::from_millis(800);
/// A timer fires only behind a look at what the kernel has to tell: whatever signal came before a call is heard by then.
const SIGNALS_HEARD: Duration = Duration::from_millis(1);
/// After a failure to accept.
const PAUSE: Duration = Duration::from_millis(20);

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
                    tokio::time::sleep(PAUSE).await;
                    continue;
                }
            };
            callers.retain(|c| !c.task.is_finished());
            while callers.len() >= SEATS {
                let silent = callers.iter().position(|c| !c.whole.load(Ordering::Relaxed));
                match silent.and_then(|at| callers.remove(at)) {
                    Some(caller) => {
                        count(Count::console_made_room);
                        caller.task.abort();
                    }
                    // All are being answered, which takes no longer than an answer may.
                    None => tokio::time::sleep(PAUSE).await,
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
        let mut conn = Framed::with_capacity(Socket::new(stream), Lines::default(), line::LONGEST);
        let Ok(Some(Ok(said))) = tokio::time::timeout(PATIENCE, conn.next()).await else { return };
        whole.store(true, Ordering::Relaxed);
        count(Count::console_calls);
        let reply = match said {
            Line::Call(call) => {
                let reply = match tokio::time::timeout(DONE, self.answer(&call)).await {
                    Ok(reply) => reply,
                    Err(_) => Reply::No("not done in time; ask again".to_string()),
                };
                if !matches!(call, Call::Status | Call::Phase | Call::Fleet(Fleet::Status | Fleet::History)) {
                    log::info!("the operators ask {call:?}: {reply}");
                }
                reply
            }
            Line::Wrong(why) => Reply::No(why),
        };
        if matches!(reply, Reply::No(_)) {
            count(Count::console_refused);
        }
        let last_word = async {
            conn.send(reply).await?;
            crate::net::client_close::shutdown_and_drain(conn.into_inner()).await
        };
        let _ = tokio::time::timeout(LAST_WORD, last_word).await;
    }

    async fn answer(&self, call: &Call) -> Reply {
        let (told, done) = match call {
            Call::Status => return self.status().await,
            Call::Phase => {
                return match self.control.request(CoreCommand::QueryStartup).await {
                    Some(told) if told.phase == phases::Phase::Full => Reply::Yes(told.to_string().into()),
                    Some(told) => Reply::No(told.to_string()),
                    None => Reply::No("ending".to_string()),
                }
            }
            Call::Confirm => {
                return match self.control.request(CoreCommand::ConfirmSuspensions).await {
                    Some(true) => Reply::Yes("confirmed".into()),
                    Some(false) => Reply::No("nothing waits to be confirmed".to_string()),
                    None => Reply::No("ending".to_string()),
                }
            }
            Call::Fleet(call) => {
                return self.fleet(call).await.map_or_else(Reply::No, |yes| Reply::Yes(yes.into()))
            }
            Call::Suspend(id) => (
                self.control
                    .change_suspension(id, |reply| CoreCommand::Suspend(id.as_str().into(), reply))
                    .await,
                "out",
            ),
            Call::Restore(id) => (
                self.control
                    .change_suspension(id, |reply| CoreCommand::Restore(id.as_str().into(), reply))
                    .await,
                "back",
            ),
        };
        told.map_or_else(Reply::No, |()| Reply::Yes(done.into()))
    }

    async fn fleet(&self, call: &Fleet) -> Result<String, String> {
        let ask = match call {
            Fleet::Status => OperatorCommand::Status,
            Fleet::History => OperatorCommand::History,
            Fleet::Propose(path, author) => {
                OperatorCommand::Propose(author.clone(), agreement_io::read_settings_json(path).await?)
            }
            Fleet::Hand(member, out) => OperatorCommand::SetSuspended(member.clone(), *out),
            Fleet::Abort => OperatorCommand::Abort,
            Fleet::Epoch(number) => OperatorCommand::BeginEpoch(*number),
        };
        let fleet = self.fleet.as_ref().ok_or("the operators' file has no agreement that is enabled")?;
        let ending = || "the process ends".to_string();
        let (reply, answer) = oneshot::channel();
        fleet.send((ask, reply)).await.map_err(|_| ending())?;
        answer.await.map_err(|_| ending())?
    }

    /// Yes only where a client would really be served.
    async fn status(&self) -> Reply {
        tokio::time::sleep(SIGNALS_HEARD).await;
        let phase = *self.phase.borrow();
        match phase {
            ProcessPhase::Starting => return Reply::No("starting: clients are not taken yet".to_string()),
            ProcessPhase::HandingOver | ProcessPhase::Closing | ProcessPhase::Ended => {
                return Reply::No("ending".to_string())
            }
            ProcessPhase::Serving => {}
        }
        match self.control.request(CoreCommand::QueryReadiness).await {
            Some(Readiness::Ready) if self.stored.load(Ordering::Relaxed) => {
                Reply::Yes("serving, by the last configuration that held".into())
            }
            Some(Readiness::Ready) => Reply::Yes("serving".into()),
            Some(Readiness::NoUsableMember) => {
                Reply::No("no member is listed that requests could go to".to_string())
            }
            Some(Readiness::SuspensionsUnconfirmed) => {
                let why = "what was said by hand may be lost; say it again, then CONFIRM";
                Reply::No(why.to_string())
            }
            None => Reply::No("ending".to_string()),
        }
    }
}
