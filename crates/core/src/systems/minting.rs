//! Mints request ids that name the node and the life that minted them.

use crate::{configs::Identity, ids::RequestId, tables::RequestTable};

/// Mints an id: `VM:INCARNATION:NUMBER`, with numbers in hex.
pub fn mint(identity: &Identity, requests: &mut RequestTable) -> RequestId {
    let number = requests.mint();
    let text = format!("{}:{:x}:{number:x}", identity.vm, identity.incarnation.0);
    RequestId::try_from(text).expect("a VM's name with two numbers is a valid id")
}
