//! The simulator's line protocol: input lines become events, actions become output lines. Each instance has
//! its own router and shares nothing with others.

use linentrail::*;
use std::collections::{BTreeMap, HashMap};
use std::fmt::Write;
use std::str::FromStr;

type ParseResult<T> = Result<T, String>;

/// A line, split into its kind and its fields.
struct Line<'a> {
    kind: &'a str,
    fields: HashMap<&'a str, &'a str>,
}

impl<'a> Line<'a> {
    fn parse(text: &'a str) -> ParseResult<Self> {
        let mut parts = text.split(' ').filter(|p| !p.is_empty());
        let kind = parts.next().ok_or("an empty line where a message was due")?;
        let mut fields = HashMap::new();
        for part in parts {
            let (name, value) =
                part.split_once('=').ok_or_else(|| format!("{kind}: '{part}' is not name=value"))?;
            if fields.insert(name, value).is_some() {
                return Err(format!("{kind}: field {name} is given twice"));
            }
        }
        Ok(Line { kind, fields })
    }

    fn bad_value(&self, name: &str, value: &str) -> String {
        format!("{}: field {name} has the bad value '{value}'", self.kind)
    }

    fn optional<T: FromStr>(&self, name: &str) -> ParseResult<Option<T>> {
        match self.fields.get(name) {
            None => Ok(None),
            Some(v) => v.parse().map(Some).map_err(|_| self.bad_value(name, v)),
        }
    }

    fn required<T: FromStr>(&self, name: &str) -> ParseResult<T> {
        self.optional(name)?.ok_or_else(|| format!("{}: field {name} is missing", self.kind))
    }

    fn one_of<T: Copy>(&self, name: &str, choices: &[(&str, T)]) -> ParseResult<T> {
        let v: String = self.required(name)?;
        choices.iter().find(|(w, _)| *w == v).map(|(_, t)| *t).ok_or_else(|| self.bad_value(name, &v))
    }

    fn flag(&self, name: &str) -> ParseResult<bool> {
        match self.fields.get(name) {
            None => Ok(false),
            Some(&("1" | "true")) => Ok(true),
            Some(&("0" | "false")) => Ok(false),
            Some(v) => Err(self.bad_value(name, v)),
        }
    }

    fn id(&self) -> ParseResult<RequestId> {
        let v: String = self.required("op_id")?;
        let valid = v.len() == 16 && v.bytes().all(|b| matches!(b, b'0'..=b'9' | b'a'..=b'f'));
        match u64::from_str_radix(&v, 16) {
            Ok(n) if valid => Ok(RequestId(n)),
            _ => Err(self.bad_value("op_id", &v)),
        }
    }
}

/// The settings of an instance, and the time from which its notes and reports count positions.
fn settings(line: &Line) -> ParseResult<(Settings, Time)> {
    let pairs: settings::FlatSettings =
        line.fields.iter().map(|(name, value)| (name.to_string(), value.to_string())).collect();
    let read = || Ok((pairs.settings(pairs.entropy()?)?, pairs.position_origin()?));
    read().map_err(|e: String| format!("CONFIGURE: {e}"))
}

fn member(line: &Line) -> ParseResult<Member> {
    Ok(Member {
        id: MemberId(line.required("member")?),
        zone: line.required("area")?,
        group: line.required("group")?,
        service_state: line.one_of(
            "condition",
            &[("IN", ServiceState::Active), ("LAME", ServiceState::Draining), ("OUT", ServiceState::Removed)],
        )?,
        primary: line.optional::<f64>("head")?.unwrap_or(0.0) >= 1.0,
        up_since: line.optional::<Time>("up_since_us")?.filter(|t| *t > 0),
    })
}

fn note(line: &Line, position_origin: Time) -> ParseResult<Option<Note>> {
    let Some(v) = line.optional::<u64>("note")? else {
        return Ok(None);
    };
    let role = match v % 4 {
        1 => Some(Role::Primary),
        2 => Some(Role::Replica),
        _ => None,
    };
    let ms = v / 4;
    let position = (ms > 0).then(|| position_origin.saturating_add(ms.saturating_mul(1000)));
    Ok(Some(Note { position, role }))
}

fn report(line: &Line, position_origin: Time) -> ParseResult<Option<Report>> {
    let Some(text) = line.fields.get("telemetry").filter(|t| !t.is_empty() && **t != "-") else {
        return Ok(None);
    };
    let mut report = Report::default();
    for part in text.split(',') {
        let (name, value) = part.split_once(':').ok_or_else(|| line.bad_value("telemetry", part))?;
        if !matches!(name, "x0" | "x1" | "busy") {
            continue;
        }
        let v: f64 = value
            .parse()
            .ok()
            .filter(|v: &f64| v.is_finite())
            .ok_or_else(|| line.bad_value("telemetry", part))?;
        match name {
            "x0" => report.position = Some(position_origin.saturating_add_signed((v * 1e6) as i64)),
            "x1" => report.primary = Some(v >= 1.0),
            _ => report.busy = Some(v),
        }
    }
    Ok(Some(report))
}

struct Instance {
    router: Router,
    position_origin: Time,
}

/// Holds the instances of one process and collects the lines of a batch until its end.
#[derive(Default)]
pub struct Host {
    instances: BTreeMap<String, Instance>,
    list_buffers: HashMap<u32, Vec<Member>>,
    pending_rows: Option<(u32, usize)>,
    batch_time: Option<Time>,
    current: Option<String>,
    batch: Vec<(String, Vec<Event>)>,
    actions: Vec<Action>,
}

impl Host {
    /// Ends the input: valid between batches, malformed within one.
    pub fn finish(&self) -> ParseResult<()> {
        match self.batch_time {
            None => Ok(()),
            Some(_) => Err("TURN: the input ends before its EOF_BATCH".to_string()),
        }
    }

    /// Accepts one line. Returns true when the batch is complete and `reply` holds the answer.
    pub fn accept_line(&mut self, text: &str, reply: &mut String) -> ParseResult<bool> {
        if text.trim().is_empty() && self.batch_time.is_none() {
            return Ok(false);
        }
        let line = Line::parse(text)?;
        if let Some((number, left)) = self.pending_rows {
            if line.kind != "ROW" {
                return Err(format!("ROSTER: {left} more ROW lines were due, '{}' came", line.kind));
            }
            self.list_buffers.entry(number).or_default().push(member(&line)?);
            self.pending_rows = (left > 1).then_some((number, left - 1));
            return Ok(false);
        }
        if self.batch_time.is_none() != (line.kind == "TURN") {
            return Err(format!("{}: out of place, batches run from TURN to EOF_BATCH", line.kind));
        }
        match line.kind {
            "TURN" => self.batch_time = Some(line.required("now_us")?),
            "FOR" => self.current = Some(line.required("who")?),
            "ROSTER" => {
                let number: u32 = line.required("buffer")?;
                if number > 15 {
                    return Err(line.bad_value("buffer", &number.to_string()));
                }
                let rows: usize = line.required("members_list")?;
                self.list_buffers.insert(number, Vec::new());
                self.pending_rows = (rows > 0).then_some((number, rows));
            }
            "EOF_BATCH" => {
                self.finish_batch(reply);
                return Ok(true);
            }
            _ => self.event(&line)?,
        }
        Ok(false)
    }

    fn event(&mut self, line: &Line) -> ParseResult<()> {
        let who = self.current.clone().ok_or_else(|| format!("{}: no FOR line before it", line.kind))?;
        match line.kind {
            "CONFIGURE" => {
                let (settings, position_origin) = settings(line)?;
                let router = Router::new(settings).map_err(|e| format!("CONFIGURE: {e}"))?;
                self.batch.retain(|(w, _)| *w != who);
                self.batch.push((who.clone(), Vec::new()));
                self.instances.insert(who, Instance { router, position_origin });
                return Ok(());
            }
            "DETACH" => {
                self.instances.remove(&who);
                self.batch.retain(|(w, _)| *w != who);
                return Ok(());
            }
            _ => {}
        }
        let instance =
            self.instances.get(&who).ok_or_else(|| format!("{}: {who} has had no CONFIGURE", line.kind))?;
        let position_origin = instance.position_origin;
        let event = match line.kind {
            "DISCOVERY" => {
                let kind = line.one_of(
                    "mode",
                    &[
                        ("diff", ListKind::Changes),
                        ("snapshot", ListKind::Full),
                        ("disk", ListKind::Disk),
                        ("error", ListKind::Failed),
                    ],
                )?;
                let members = if kind == ListKind::Failed {
                    Vec::new()
                } else {
                    let number: u32 = line.required("buffer")?;
                    self.list_buffers
                        .get(&number)
                        .cloned()
                        .ok_or_else(|| line.bad_value("buffer", &number.to_string()))?
                };
                Event::List { kind, members }
            }
            "REQUEST" => {
                let token: Option<f64> = line.optional("token_ms")?;
                if token.is_some_and(|t| !t.is_finite() || t < 0.0) {
                    return Err(line.bad_value("token_ms", line.fields["token_ms"]));
                }
                let now = self.batch_time.unwrap_or_default();
                // An age of 0 means that the session has never written.
                let age = token.map(|ms| (ms * 1000.0) as Time).filter(|age| *age > 0);
                Event::Request {
                    id: line.id()?,
                    class: line.required("priority")?,
                    group: line.required("cluster")?,
                    deadline: line.required("client_deadline_us")?,
                    session: line.optional::<String>("session")?.map(Into::into),
                    session_position: age.map(|age| now.saturating_sub(age)),
                    proven_position: None,
                    repeat: line.flag("repeat")?,
                    // The simulator's clients give each request of a keyed class a key.
                    has_idempotency_key: true,
                }
            }
            "HANGUP" => Event::Disconnected { id: line.id()? },
            "DUE" => Event::Wake { tag: line.required("ref")? },
            "PROBED" => Event::Probed {
                member: MemberId(line.required("member")?),
                ok: outcome(line)? == Outcome::Completed,
                report: report(line, position_origin)?,
            },
            "UNDER_WAY" => Event::Started { id: line.id()?, attempt: line.required("leg")? },
            "ATTEMPT_END" => Event::Ended {
                id: line.id()?,
                attempt: line.required("leg")?,
                outcome: outcome(line)?,
                complete: line.flag("complete")?,
                spent: line.required("spent_us")?,
                note: note(line, position_origin)?,
                report: report(line, position_origin)?,
            },
            "MAIL" => return Ok(()),
            other => return Err(format!("{other}: no such message")),
        };
        match self.batch.iter_mut().find(|(w, _)| *w == who) {
            Some((_, events)) => events.push(event),
            None => self.batch.push((who, vec![event])),
        }
        Ok(())
    }

    fn finish_batch(&mut self, reply: &mut String) {
        let now = self.batch_time.take().unwrap_or_default();
        self.current = None;
        for (who, events) in self.batch.drain(..) {
            let Some(instance) = self.instances.get_mut(&who) else {
                continue;
            };
            self.actions.clear();
            instance.router.step(now, &events, &mut self.actions);
            if !self.actions.is_empty() {
                let _ = writeln!(reply, "INSTANCE who={who}");
            }
            for action in &self.actions {
                write_action(action, reply);
            }
        }
        reply.push_str("EOR\n");
    }
}

fn outcome(line: &Line) -> ParseResult<Outcome> {
    use Outcome::*;
    line.one_of(
        "code",
        &[
            ("completed", Completed),
            ("errored", Errored),
            ("saturated", Saturated),
            ("overdue", Overdue),
            ("refused_conn", Refused),
            ("severed", Reset),
            ("recalled", Cancelled),
            ("superseded", Superseded),
            ("lookup_miss", Miss),
        ],
    )
}

fn write_action(action: &Action, reply: &mut String) {
    // Writing to a string cannot fail.
    let _ = match action {
        Action::Send { id, member, stop_at: Some(t) } => {
            writeln!(reply, "SEND op_id={:016x} member={} stop_at_us={t}", id.0, member.0)
        }
        Action::Send { id, member, stop_at: None } => {
            writeln!(reply, "SEND op_id={:016x} member={}", id.0, member.0)
        }
        Action::Cancel { id, attempt } => writeln!(reply, "STOP_ATTEMPT op_id={:016x} leg={attempt}", id.0),
        Action::Refuse { id, retry_after: Some(t) } => {
            writeln!(reply, "BUSY op_id={:016x} backoff_us={t}", id.0)
        }
        Action::Refuse { id, retry_after: None } => writeln!(reply, "BUSY op_id={:016x}", id.0),
        Action::Explain { .. } => Ok(()),
        Action::Fail { id } => writeln!(reply, "ABORT op_id={:016x}", id.0),
        Action::Probe { member } => writeln!(reply, "HEALTH_CHECK member={}", member.0),
        Action::CloseIdle { member } => writeln!(reply, "FREE_LINKS member={}", member.0),
        Action::Subscribe => writeln!(reply, "FOLLOW on=1"),
        Action::Wake { after, tag } => writeln!(reply, "SLEEP from_now_us={after} ref={tag}"),
        Action::Log(text) => writeln!(reply, "EMIT line={}", text.replace(['\n', '\r'], " ")),
    };
}
