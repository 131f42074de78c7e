//! Issued ids: text that names a request's home, its witnesses and a number.

use std::fmt;

use hmac::{Hmac, Mac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;

use crate::{
    ids::{Incarnation, RequestId, VmId},
    peer::Sender,
    time::Timestamp,
};

/// The prefix of every issued id; the digit is the version of the format.
const PREFIX: &str = "m1:";
/// Length in bytes of the truncated MAC at the end of an id.
const CHECK_BYTES: usize = 16;

/// The secret that the nodes of a deployment authenticate ids with.
///
/// `Debug` does not print it.
#[derive(Clone, Default)]
pub struct IdKey(Vec<u8>);

impl IdKey {
    /// Creates a key from the deployment's shared secret.
    pub fn new(secret: &[u8]) -> Self {
        Self(secret.to_vec())
    }

    fn mac(&self, text: &str) -> Hmac<Sha256> {
        let mut mac =
            Hmac::<Sha256>::new_from_slice(&self.0).expect("HMAC accepts keys of any length");
        // The prefix separates these MACs from other uses of the secret.
        mac.update(b"radishhaven request id\n");
        mac.update(text.as_bytes());
        mac
    }
}

impl fmt::Debug for IdKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("IdKey(hidden)")
    }
}

/// One process of a node; after a restart on the same VM it is another instance.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Instance {
    /// The node's VM.
    pub vm: VmId,
    /// The incarnation of the process.
    pub incarnation: Incarnation,
}

impl From<Sender> for Instance {
    fn from(sender: Sender) -> Self {
        Self {
            vm: sender.vm,
            incarnation: sender.incarnation,
        }
    }
}

/// Identifies a request between nodes: its home and a number that the home assigned.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct IntentId {
    /// The only instance that may dispatch the request.
    pub home: Instance,
    /// The serial number of the id at its home.
    pub number: u64,
}

/// The content of an issued id.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct IssuedId {
    /// The request's home and number.
    pub intent: IntentId,
    /// When it was issued, on the home's clock.
    #[serde(rename = "minted")]
    pub issued: Timestamp,
    /// The instances that must record the home's intent.
    pub witnesses: Vec<Instance>,
}

/// Why a text is not an issued id.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum IdError {
    /// The text does not have the format of an issued id.
    #[error("this id was not minted: get one from POST /v1/request-ids")]
    Malformed,
    /// The MAC does not match the text or the key.
    #[error("this id was altered or is of another deployment: get one from POST /v1/request-ids")]
    Altered,
}

impl IssuedId {
    /// Returns the id as text that ends with a MAC under the key.
    pub fn encode(&self, key: &IdKey) -> RequestId {
        let mut text = format!(
            "{PREFIX}{:x}:{:x}:",
            self.intent.number,
            self.issued.as_millis()
        );
        for instance in std::iter::once(&self.intent.home).chain(&self.witnesses) {
            let vm = instance.vm.as_str();
            // The length prefix allows the separator in a VM's name.
            text += &format!("{}:{vm}:{:x}:", vm.len(), instance.incarnation.0);
        }
        let check = key.mac(&text).finalize().into_bytes();
        text.extend(check[..CHECK_BYTES].iter().map(|b| format!("{b:02x}")));
        RequestId::try_from(text).expect("VM names and numbers make a valid id")
    }

    /// Parses an id and checks that a node with the key issued it.
    ///
    /// # Errors
    ///
    /// Returns an error if the text has another format or the MAC is wrong.
    pub fn parse(id: &RequestId, key: &IdKey) -> Result<Self, IdError> {
        let text = id.as_str();
        let issued = Self::parse_fields(text).ok_or(IdError::Malformed)?;
        // Encoding again also rejects other spellings of the same content.
        let same =
            subtle::ConstantTimeEq::ct_eq(issued.encode(key).as_str().as_bytes(), text.as_bytes());
        if bool::from(same) {
            Ok(issued)
        } else {
            Err(IdError::Altered)
        }
    }

    fn parse_fields(text: &str) -> Option<Self> {
        let rest = text.strip_prefix(PREFIX)?;
        let (number, rest) = hex_field(rest)?;
        let (issued, mut rest) = hex_field(rest)?;
        let mut instances = Vec::new();
        while rest.len() != 2 * CHECK_BYTES || rest.contains(':') {
            let (instance, after) = parse_instance(rest)?;
            instances.push(instance);
            rest = after;
        }
        if instances.is_empty() {
            return None;
        }
        let home = instances.remove(0);
        Some(Self {
            intent: IntentId { home, number },
            issued: Timestamp::from_millis(issued),
            witnesses: instances,
        })
    }
}

fn hex_field(text: &str) -> Option<(u64, &str)> {
    let (field, rest) = text.split_once(':')?;
    Some((u64::from_str_radix(field, 16).ok()?, rest))
}

fn parse_instance(text: &str) -> Option<(Instance, &str)> {
    let (length, rest) = text.split_once(':')?;
    let length: usize = length.parse().ok()?;
    let vm = rest.get(..length)?.parse().ok()?;
    let rest = rest.get(length..)?.strip_prefix(':')?;
    let (incarnation, rest) = hex_field(rest)?;
    let incarnation = Incarnation(incarnation);
    Some((Instance { vm, incarnation }, rest))
}

#[cfg(test)]
mod tests;
