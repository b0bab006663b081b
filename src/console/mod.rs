//! The console: a TCP listener for operators. A connection carries one line with a call, and one line with
//! the reply.
//!
//! Console connections have a limit and reserved descriptors of their own, and their calls reach the core
//! through a separate mailbox, so that neither clients nor a busy core delay replies. At the limit, the
//! oldest connection that has not sent a complete line is closed for a new one: idle connections must not
//! lock out an operator. The console itself decides nothing; it forwards calls to the core and to the
//! agreement.

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

/// Maximum number of concurrent console connections.
pub const CONNECTIONS_MAX: usize = 12;
/// How long a caller may take to send its line.
const CALL_TIMEOUT: Duration = Duration::from_secs(15);
/// How long a caller may take to receive its reply.
const REPLY_TIMEOUT: Duration = Duration::from_secs(2);
/// A call that is not finished after this time is reported as not done: a caller must have its reply within a
/// second.
const EXECUTION_TIMEOUT: Duration = Duration::from_millis(800);
/// Delay before the status is determined. The runtime polls the kernel for events before a timer fires, so a
/// signal sent before the call has been delivered after this delay, and the status reflects it.
const SIGNAL_DELIVERY_WAIT: Duration = Duration::from_millis(1);
/// Delay after a failed accept, and between checks whether a connection has ended when all are in use.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// The console; each connection has a copy.
#[derive(Clone)]
pub struct Console {
    control: ControlHandle,
    phase: PhaseReceiver,
    /// Whether a stored configuration is in use, as the file could not be used at startup.
    config_from_store: Arc<AtomicBool>,
    /// Mailbox of the agreement between proxies, if it is enabled.
    operator_calls: Option<mpsc::Sender<agreement_io::OperatorCall>>,
}

struct Caller {
    task: AbortHandle,
    /// Whether a complete line has arrived.
    line_complete: Arc<AtomicBool>,
}

impl Console {
    /// Creates a console that sends calls about this proxy to `control`, and calls about the fleet to
    /// `operator_calls`.
    pub fn new(
        control: ControlHandle,
        phase: PhaseReceiver,
        config_from_store: Arc<AtomicBool>,
        operator_calls: Option<mpsc::Sender<agreement_io::OperatorCall>>,
    ) -> Self {
        Console { control, phase, config_from_store, operator_calls }
    }

    /// Accepts callers until the process ends.
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
                let incomplete = callers.iter().position(|c| !c.line_complete.load(Ordering::Relaxed));
                match incomplete.and_then(|index| callers.remove(index)) {
                    Some(caller) => {
                        count(Count::console_made_room);
                        caller.task.abort();
                    }
                    // All connections have a call in progress, which ends within its timeout.
                    None => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
                }
                callers.retain(|c| !c.task.is_finished());
            }
            count(Count::console_connections);
            let line_complete = Arc::new(AtomicBool::new(false));
            let (console, complete) = (self.clone(), line_complete.clone());
            let task = tokio::spawn(async move { console.serve(stream, &complete).await });
            callers.push_back(Caller { task: task.abort_handle(), line_complete });
            // Lets the task read a line that has already arrived before the next caller can evict it.
            tokio::task::yield_now().await;
        }
    }

    async fn serve(&self, stream: TcpStream, line_complete: &AtomicBool) {
        let mut conn = Framed::with_capacity(Socket::new(stream), LineCodec::default(), line::LINE_BYTES_MAX);
        let Ok(Some(Ok(line))) = tokio::time::timeout(CALL_TIMEOUT, conn.next()).await else { return };
        line_complete.store(true, Ordering::Relaxed);
        count(Count::console_calls);
        let reply = match line {
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
        let send_reply = async {
            conn.send(reply).await?;
            crate::net::client_close::shutdown_and_drain(conn.into_inner()).await
        };
        let _ = tokio::time::timeout(REPLY_TIMEOUT, send_reply).await;
    }

    async fn answer(&self, call: &Call) -> Reply {
        let (result, success_text) = match call {
            Call::Status => return self.status().await,
            Call::Phase => {
                return match self.control.request(CoreCommand::QueryStartup).await {
                    Some(startup) if startup.phase == phases::Phase::Full => {
                        Reply::Success(startup.to_string().into())
                    }
                    Some(startup) => Reply::Failure(startup.to_string()),
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
                return self.fleet(call).await.map_or_else(Reply::Failure, |text| Reply::Success(text.into()))
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
        result.map_or_else(Reply::Failure, |()| Reply::Success(success_text.into()))
    }

    async fn fleet(&self, call: &FleetCall) -> Result<String, String> {
        let command = match call {
            FleetCall::Status => OperatorCommand::Status,
            FleetCall::History => OperatorCommand::History,
            FleetCall::Propose(path, author) => {
                OperatorCommand::Propose(author.clone(), agreement_io::read_settings_json(path).await?)
            }
            FleetCall::Hand(member, suspended) => OperatorCommand::SetSuspended(member.clone(), *suspended),
            FleetCall::Abort => OperatorCommand::Abort,
            FleetCall::Epoch(number) => OperatorCommand::BeginEpoch(*number),
        };
        let operator_calls =
            self.operator_calls.as_ref().ok_or("the operators' file has no agreement that is enabled")?;
        let ending = || "the process ends".to_string();
        let (reply, answer) = oneshot::channel();
        operator_calls.send((command, reply)).await.map_err(|_| ending())?;
        answer.await.map_err(|_| ending())?
    }

    /// Succeeds only if a client would be served now.
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
            Some(Readiness::Ready) if self.config_from_store.load(Ordering::Relaxed) => {
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
