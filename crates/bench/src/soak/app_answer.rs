//! The answers of a stand-in of an application backend server, whole and flawed.

use std::io;

use super::app_settings::Flaw;
use super::app_state::State;
use super::seal::signature;
use super::wire::Wire;
use oriolering_platform::HEADERS;

const GARBAGE: &[u8] = b"\x16\x03\x01 this is no answer\r\n\r\n";
const MS_PER_S: u64 = 1_000;

/// Whether the connection takes another request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Next {
    Keep,
    Close,
    Reset,
    Silent,
}

/// An answer that is about to be sent.
pub(crate) struct Answer<'a> {
    pub(crate) state: &'a State,
    pub(crate) id: &'a str,
    pub(crate) status: u16,
    pub(crate) body: Vec<u8>,
    /// Whether the answer comes of a run.
    pub(crate) executed: bool,
}

impl Answer<'_> {
    /// Sends the answer, with the flaw if there is one.
    pub(crate) async fn send(&self, wire: &mut Wire, flaw: Option<Flaw>) -> io::Result<Next> {
        let whole = [self.head(true).as_bytes(), &self.body].concat();
        match flaw {
            None | Some(Flaw::Error | Flaw::Early | Flaw::Shed | Flaw::Late) => {
                wire.write(&whole).await?;
                Ok(self.next())
            }
            Some(Flaw::Extra) => {
                wire.write(&[whole.as_slice(), &self.extra()].concat())
                    .await?;
                Ok(self.next())
            }
            Some(Flaw::Truncated) => {
                let cut = whole.len() - self.body.len().div_ceil(2);
                wire.write(&whole[..cut]).await?;
                Ok(Next::Close)
            }
            Some(Flaw::Unframed) => {
                wire.write(self.head(false).as_bytes()).await?;
                wire.write(&self.body).await?;
                Ok(Next::Close)
            }
            Some(Flaw::UnframedReset) => {
                wire.write(self.head(false).as_bytes()).await?;
                wire.write(&self.body[..self.body.len() / 2]).await?;
                Ok(Next::Reset)
            }
            Some(Flaw::Garbled) => {
                wire.write(GARBAGE).await?;
                Ok(Next::Close)
            }
            Some(Flaw::Lost) => Ok(Next::Silent),
            Some(Flaw::Reset | Flaw::Crash) => Ok(Next::Reset),
        }
    }

    /// Returns an answer that nothing asked for; it bears the identity of this request.
    pub(crate) fn extra(&self) -> Vec<u8> {
        let extra = Answer {
            body: b"an answer that nothing asked for".to_vec(),
            ..*self
        };
        [extra.head(true).as_bytes(), &extra.body].concat()
    }

    fn next(&self) -> Next {
        match self.state.fault.get().leaving {
            true => Next::Close,
            false => Next::Keep,
        }
    }

    fn head(&self, framed: bool) -> String {
        let settings = &self.state.settings;
        let mut head = format!("HTTP/1.1 {} Told\r\n", self.status);
        let mut add = |name: &str, value: &str| head += &format!("{name}: {value}\r\n");
        add(HEADERS.server, &settings.id);
        if !self.id.is_empty() {
            add(HEADERS.request, self.id);
        }
        match self.executed {
            true => add(
                HEADERS.signature,
                &signature(self.id, self.status, &self.body),
            ),
            false => add(HEADERS.unexecuted, "1"),
        }
        if settings.tells_load {
            add(HEADERS.load, &self.state.load());
        }
        let fault = self.state.fault.get();
        // Each backend server keeps to one of the two spellings.
        let spelling = usize::from(settings.seed % 2 == 1);
        if let Some(limit) = fault.limit {
            let per_s = f64::from(limit) / 1_000.0;
            add(HEADERS.limit[spelling], &per_s.to_string());
        }
        if fault.leaving {
            add(HEADERS.leaving[spelling], "1");
        }
        match framed {
            true => add("content-length", &self.body.len().to_string()),
            false => add("connection", "close"),
        }
        if framed && self.next() == Next::Close {
            add("connection", "close");
        } else if framed && settings.idle_ms >= MS_PER_S {
            add(
                "keep-alive",
                &format!("timeout={}", settings.idle_ms / MS_PER_S),
            );
        }
        head + "\r\n"
    }
}
