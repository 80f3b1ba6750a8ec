//! Reads secrets from the files named in the settings.

use std::fmt;

use anyhow::{Context, Result, ensure};
use turmericfold_config::Secrets;
use turmericfold_peer::PeerKey;

/// Minimum length of a secret, in bytes.
const MIN_SECRET_BYTES: usize = 16;

/// The token that operators send; `Debug` hides it.
#[derive(Clone, PartialEq, Eq)]
pub(crate) struct OperatorsToken(String);

impl OperatorsToken {
    /// Returns the value of the `authorization` header.
    pub(crate) fn header(&self) -> String {
        format!("Bearer {}", self.0)
    }

    /// Returns whether an `authorization` header holds the token.
    ///
    /// The comparison takes the same time wherever the two differ.
    pub(crate) fn matches_header(&self, header: Option<&str>) -> bool {
        let expected = self.header();
        let received = header.unwrap_or_default();
        let differing = expected
            .bytes()
            .zip(received.bytes())
            .fold(0, |sum, (a, b)| sum | (a ^ b));
        differing == 0 && expected.len() == received.len()
    }
}

impl fmt::Debug for OperatorsToken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("OperatorsToken(hidden)")
    }
}

/// Reads the key of the peers, if the settings name its file.
///
/// Fails if the file can't be read or holds less than 16 bytes.
pub(crate) fn peers_key(secrets: &Secrets) -> Result<Option<PeerKey>> {
    let secret = read(secrets.peers_key_file.as_deref())?;
    Ok(secret.map(|secret| PeerKey::new(secret.into_bytes())))
}

/// Reads the token of the operators, if the settings name its file.
///
/// Fails if the file can't be read or holds less than 16 bytes.
pub(crate) fn operators_token(secrets: &Secrets) -> Result<Option<OperatorsToken>> {
    Ok(read(secrets.operators_token_file.as_deref())?.map(OperatorsToken))
}

fn read(path: Option<&str>) -> Result<Option<String>> {
    let Some(path) = path else {
        return Ok(None);
    };
    let text =
        std::fs::read_to_string(path).with_context(|| format!("can't read secret file {path}"))?;
    let secret = text.trim().to_owned();
    ensure!(
        secret.len() >= MIN_SECRET_BYTES,
        "secret file {path} holds less than {MIN_SECRET_BYTES} bytes; use a longer secret"
    );
    Ok(Some(secret))
}
